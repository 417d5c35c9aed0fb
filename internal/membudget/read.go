package membudget

import "io"

const (
	// firstBuffer is the size in bytes of the first buffer for a body.
	firstBuffer = 512
	// smallBody is the largest small body in bytes.
	smallBody = 16 << 10
)

// Read is Account.Read without a budget.
func Read(from io.Reader, largest int64) ([]byte, error) { return (*Account)(nil).Read(from, largest) }

// Read reads until the end or until a number of bytes have been read, and returns them. The buffer grows with the bytes
// that arrive, since a sender may announce more than it sends, and each growth is taken out of the account. Read fails
// with ErrExhausted if that is not possible. A read that fails returns what it has taken.
func (a *Account) Read(from io.Reader, largest int64) ([]byte, error) {
	first := min(firstBuffer, largest)
	if !a.take(first, true) {
		return nil, ErrExhausted
	}
	body, err := a.fill(make([]byte, 0, first), from, largest)
	if err != nil {
		a.giveBack(int64(cap(body)))
		return nil, err
	}
	return body, nil
}

// fill reads into a buffer and replaces it with a larger one when it is full. It returns the last buffer, also with an
// error.
func (a *Account) fill(body []byte, from io.Reader, largest int64) ([]byte, error) {
	for int64(len(body)) < largest {
		if len(body) == cap(body) {
			grown, err := a.grow(body, largest)
			if err != nil {
				return body, err
			}
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// grow returns a copy of a full buffer with twice its capacity, but not more than largest.
func (a *Account) grow(body []byte, largest int64) ([]byte, error) {
	capacity := min(2*int64(cap(body)), largest)
	if !a.take(capacity-int64(cap(body)), capacity <= smallBody) {
		return nil, ErrExhausted
	}
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	return grown, nil
}
