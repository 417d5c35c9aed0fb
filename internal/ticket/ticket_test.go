package ticket

import (
	"encoding/hex"
	"testing"
	"time"

	"stiletrail/internal/failure"
)

func TestUse(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	other := NewTable("10.0.0.1:7200", 5, []byte("another key"))
	replaced := NewTable("10.0.0.1:7200", 6, []byte("key"))
	ticket := table.Mint(0)
	changed := append([]byte(nil), ticket...)
	changed[15]++
	used := table.Mint(0)
	if use := table.Use(0, used, []byte("a")); !isFresh(use) {
		t.Fatalf("use %+v of a new ticket", use)
	}
	cases := []struct {
		name   string
		table  *Table
		now    time.Duration
		ticket []byte
		body   string
		code   failure.Code
		notRun bool
	}{
		{"too short", table, 0, []byte("x"), "a", failure.TicketInvalid, true},
		{"signed by nobody", other, 0, ticket, "a", failure.TicketInvalid, true},
		{"changed", table, 0, changed, "a", failure.TicketInvalid, true},
		{"of a process that is gone", replaced, 0, ticket, "a", failure.OutcomeUnknown, false},
		{"expired", table, Lifetime + 1, ticket, "a", failure.OutcomeUnknown, false},
		{"used for another request", table, 0, used, "b", failure.InvalidArgument, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			use := c.table.Use(c.now, c.ticket, []byte(c.body))
			rejected, ok := use.(Rejected)
			if !ok || rejected.Failure == nil || rejected.Failure.Code != c.code || rejected.Failure.NotRun != c.notRun {
				t.Errorf("use %+v", use)
			}
		})
	}
}

func TestResendsGetTheOutcome(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	ticket := table.Mint(0)
	use := table.Use(time.Second, ticket, []byte("a"))
	fresh, ok := use.(Fresh)
	if !ok {
		t.Fatalf("use %+v", use)
	}
	if use = table.Use(2*time.Second, ticket, []byte("a")); use != Running(fresh) {
		t.Errorf("use %+v while running", use)
	}
	table.RecordOutcome(fresh.Sequence, Outcome{Shard: 3})
	use = table.Use(3*time.Second, ticket, []byte("a"))
	if finished, ok := use.(Finished); !ok || finished.Outcome.Shard != 3 {
		t.Errorf("use %+v", use)
	}
	// Long after, the outcome may be forgotten; it never runs again.
	use = table.Use(time.Hour, ticket, []byte("a"))
	if rejected, ok := use.(Rejected); isFresh(use) || ok && rejected.Failure.NotRun {
		t.Errorf("use %+v after an hour", use)
	}
	table.Mint(time.Hour)
	if use := table.Use(2*time.Hour, ticket, []byte("a")); isFresh(use) {
		t.Error("a forgotten ticket ran again")
	}
}

func isFresh(use UseResult) bool {
	_, fresh := use.(Fresh)
	return fresh
}

// TestRefusalIsFinal: a copy of a refused request that comes later gets the same refusal and does not run.
func TestRefusalIsFinal(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	ticket := table.Mint(0)
	use := table.Use(0, ticket, []byte("a"))
	fresh, ok := use.(Fresh)
	if !ok {
		t.Fatalf("use %+v", use)
	}
	table.RecordOutcome(fresh.Sequence, Outcome{Failure: failure.Refused(failure.NotReady, "not ready", 0)})
	use = table.Use(time.Second, ticket, []byte("a"))
	if finished, ok := use.(Finished); !ok || finished.Outcome.Failure == nil || !finished.Outcome.Failure.NotRun {
		t.Errorf("use %+v", use)
	}
}

// TestTicketsKeepTheirForm: callers hold tickets, and nodes of another release pass them on by their address.
func TestTicketsKeepTheirForm(t *testing.T) {
	const minted = "0102030405060708000000000000000100000000b2d05e0031302e302e302e313a3731303082ac8ee00ea8afded25bdf9f9df03b90"
	ticket := NewTable("10.0.0.1:7100", 0x0102030405060708, []byte("key")).Mint(3 * time.Second)
	if got := hex.EncodeToString(ticket); got != minted {
		t.Errorf("ticket %s, want %s", got, minted)
	}
	want := Ticket{Address: "10.0.0.1:7100", Generation: 0x0102030405060708, Sequence: 1, MintedAt: 3 * time.Second}
	if got, err := Parse(ticket); err != nil || got != want {
		t.Errorf("read as %+v, error %v", got, err)
	}
}
