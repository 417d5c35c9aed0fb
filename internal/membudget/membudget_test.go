package membudget_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"stiletrail/internal/membudget"
)

// TestBudgetBoundsAllBodies guards against bodies that together take more than the budget, however many requests read
// them at the same time. What was taken is there again once the accounts are closed.
func TestBudgetBoundsAllBodies(t *testing.T) {
	const limit, length = 100_000, 30_000
	budget := membudget.New(limit)
	var readers sync.WaitGroup
	var mutex sync.Mutex
	complete := 0
	var accounts []*membudget.Account
	for range 20 {
		account := budget.Open()
		accounts = append(accounts, account)
		readers.Go(func() {
			body, err := account.Read(strings.NewReader(strings.Repeat("b", length)), length)
			if err != nil && !errors.Is(err, membudget.ErrExhausted) {
				t.Errorf("the body could not be read: %v", err)
			}
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil && len(body) == length {
				complete++
			}
		})
	}
	readers.Wait()
	if used := budget.Used(); used > limit || complete > limit/length || budget.Exhausted() == 0 {
		t.Errorf("%d bytes are taken by %d whole bodies, want at most %d and %d", used, complete, limit, limit/length)
	}
	for _, account := range accounts {
		account.Close()
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are taken after all accounts were closed, want none", used)
	}
}

// TestLargeBodiesLeaveMemoryForSmallOnes guards against large bodies that keep all other requests from being served.
func TestLargeBodiesLeaveMemoryForSmallOnes(t *testing.T) {
	const limit = 1 << 20
	budget := membudget.New(limit)
	for range 3 {
		if _, err := budget.Open().Read(strings.NewReader(strings.Repeat("b", limit)), limit); !errors.Is(err, membudget.ErrExhausted) {
			t.Fatalf("the read of a body as large as the budget ended with %v, want ErrExhausted", err)
		}
	}
	for range 10 {
		if _, err := budget.Open().Read(strings.NewReader(strings.Repeat("b", 10_000)), 10_000); err != nil {
			t.Fatalf("a small body could not be read beside large ones: %v", err)
		}
	}
}

// TestFailedReadReturnsMemory: what was taken for a body that could not be read is there for others at once, since the
// request may go on with another attempt.
func TestFailedReadReturnsMemory(t *testing.T) {
	budget := membudget.New(100_000)
	account := budget.Open()
	broken := io.MultiReader(strings.NewReader(strings.Repeat("b", 50_000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	if _, err := account.Read(broken, 60_000); err != io.ErrUnexpectedEOF || budget.Used() != 0 {
		t.Errorf("the read ended with %v and %d bytes are taken, want the reader's error and none", err, budget.Used())
	}
	if _, err := account.Read(strings.NewReader(strings.Repeat("b", 200_000)), 200_000); !errors.Is(err, membudget.ErrExhausted) || budget.Used() != 0 {
		t.Errorf("the read ended with %v and %d bytes are taken, want ErrExhausted and none", err, budget.Used())
	}
}

// TestClosedAccountTakesNothing: an attempt may still be reading when its request has ended. It must not take memory that
// nobody returns.
func TestClosedAccountTakesNothing(t *testing.T) {
	budget := membudget.New(1000)
	account := budget.Open()
	account.Close()
	if _, err := account.Read(strings.NewReader("late"), 4); !errors.Is(err, membudget.ErrExhausted) || budget.Used() != 0 {
		t.Errorf("the read ended with %v and %d bytes are taken, want ErrExhausted and none", err, budget.Used())
	}
}

// TestAnnouncedBodyTakesNothing guards against memory that is taken for bytes which do not arrive.
func TestAnnouncedBodyTakesNothing(t *testing.T) {
	budget := membudget.New(1 << 30)
	body, err := budget.Open().Read(strings.NewReader("few"), 1<<29)
	if string(body) != "few" || err != nil || budget.Used() > 1<<10 {
		t.Errorf("read %q (%v) and took %d bytes, want a kilobyte at most", body, err, budget.Used())
	}
}

// TestReadOfEachLength checks that the bytes arrive as they were sent, up to the largest length, and that errors are
// reported.
func TestReadOfEachLength(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := bytes.Repeat([]byte("0123456789abcdef0"), rapid.IntRange(0, 300).Draw(t, "repeats"))
		largest := rapid.IntRange(0, 6000).Draw(t, "largest")
		var from io.Reader = bytes.NewReader(sent)
		if rapid.Bool().Draw(t, "in single bytes") {
			from = iotest.OneByteReader(from)
		}
		budget := membudget.New(1 << 20)
		got, err := budget.Open().Read(from, int64(largest))
		if want := sent[:min(len(sent), largest)]; err != nil || !bytes.Equal(got, want) {
			t.Fatalf("read %d bytes (%v), want %d", len(got), err, len(want))
		}
		if used := budget.Used(); used > int64(max(512, 2*len(got))) {
			t.Fatalf("%d bytes were taken for %d", used, len(got))
		}
	})
	if _, err := (*membudget.Account)(nil).Read(iotest.ErrReader(io.ErrUnexpectedEOF), 10); err != io.ErrUnexpectedEOF {
		t.Errorf("the read ended with %v, want the error of the reader", err)
	}
}
