package tenant

import (
	"crypto/subtle"
	"fmt"
	"io"
)

// Key is the secret by which a caller proves that it belongs to a tenant. It must not appear in a log, a metric, an
// error or a message to a back end or another node, so no way of printing or encoding a Key shows its text. The zero Key is
// no key; no tenant holds it.
type Key struct {
	// text is a pointer because fmt prints the fields of a struct that it cannot call methods on, but follows no pointer in
	// them.
	text *string
}

// NewKey returns the key with a text. The empty text gives the zero Key.
func NewKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return Key{text: &text}
}

// IsZero reports whether this is no key.
func (k Key) IsZero() bool { return k.text == nil }

// Equal reports whether two keys have the same text. The time that it takes says nothing about how much of the text is
// the same.
func (k Key) Equal(other Key) bool {
	if k.IsZero() || other.IsZero() {
		return k.IsZero() && other.IsZero()
	}
	return subtle.ConstantTimeCompare([]byte(*k.text), []byte(*other.text)) == 1
}

// hidden is printed in place of a key.
const hidden = "[key]"

// Format implements fmt.Formatter. It hides the key from every verb.
func (k Key) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, hidden) }

// MarshalText implements encoding.TextMarshaler. It hides the key from encodings such as JSON.
func (k Key) MarshalText() ([]byte, error) { return []byte(hidden), nil }
