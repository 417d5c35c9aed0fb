package ticket

import (
	"encoding/hex"
	"testing"
	"time"

	"stiletrail/internal/failure"
)

// TestUse checks which tickets are rejected, and that "not run" is claimed only of tickets that no request can have run
// with.
func TestUse(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	other := NewTable("10.0.0.1:7200", 5, []byte("another key"))
	replaced := NewTable("10.0.0.1:7200", 6, []byte("key"))
	ticket := table.Mint(0)
	changed := append([]byte(nil), ticket...)
	changed[15]++
	used := table.Mint(0)
	if use := table.Use(0, used, []byte("a")); !isFresh(use) {
		t.Fatalf("use of a new ticket gave %+v, want Fresh", use)
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
		{"minted with another key", other, 0, ticket, "a", failure.TicketInvalid, true},
		{"changed sequence number", table, 0, changed, "a", failure.TicketInvalid, true},
		{"minted by an earlier process", replaced, 0, ticket, "a", failure.OutcomeUnknown, false},
		{"expired", table, Lifetime + 1, ticket, "a", failure.OutcomeUnknown, false},
		{"used for another request", table, 0, used, "b", failure.InvalidArgument, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			use := c.table.Use(c.now, c.ticket, []byte(c.body))
			rejected, ok := use.(Rejected)
			if !ok || rejected.Failure == nil || rejected.Failure.Code != c.code || rejected.Failure.NotRun != c.notRun {
				t.Errorf("use gave %+v, want Rejected with the code and not-run flag of the case", use)
			}
		})
	}
}

// TestResendsGetTheOutcome checks that a resent request does not run again: it is told that the first one is in flight,
// then its outcome, and it is rejected after the outcome was removed.
func TestResendsGetTheOutcome(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	ticket := table.Mint(0)
	use := table.Use(time.Second, ticket, []byte("a"))
	fresh, ok := use.(Fresh)
	if !ok {
		t.Fatalf("use of a new ticket gave %+v, want Fresh", use)
	}
	if use = table.Use(2*time.Second, ticket, []byte("a")); use != Running(fresh) {
		t.Errorf("use while the request is in flight gave %+v, want Running", use)
	}
	table.RecordOutcome(fresh.Sequence, Outcome{Shard: 3})
	use = table.Use(3*time.Second, ticket, []byte("a"))
	if finished, ok := use.(Finished); !ok || finished.Outcome.Shard != 3 {
		t.Errorf("use after the request ended gave %+v, want Finished with shard 3", use)
	}
	// An hour later the outcome may have been removed, but the request must not run again.
	use = table.Use(time.Hour, ticket, []byte("a"))
	if rejected, ok := use.(Rejected); isFresh(use) || ok && rejected.Failure.NotRun {
		t.Errorf("use after an hour gave %+v, want neither Fresh nor a failure that says not run", use)
	}
	table.Mint(time.Hour)
	if use := table.Use(2*time.Hour, ticket, []byte("a")); isFresh(use) {
		t.Error("use after the outcome was removed gave Fresh: the request would run twice")
	}
}

func isFresh(use UseResult) bool {
	_, fresh := use.(Fresh)
	return fresh
}

// TestRefusalIsFinal checks that a resent copy of a refused request gets the same refusal and does not run. Otherwise
// the request would run after its caller was told that it did not.
func TestRefusalIsFinal(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	ticket := table.Mint(0)
	use := table.Use(0, ticket, []byte("a"))
	fresh, ok := use.(Fresh)
	if !ok {
		t.Fatalf("use of a new ticket gave %+v, want Fresh", use)
	}
	table.RecordOutcome(fresh.Sequence, Outcome{Failure: failure.NewRefusal(failure.NotReady, "not ready", 0)})
	use = table.Use(time.Second, ticket, []byte("a"))
	if finished, ok := use.(Finished); !ok || finished.Outcome.Failure == nil || !finished.Outcome.Failure.NotRun {
		t.Errorf("use gave %+v, want Finished with a failure that says not run", use)
	}
}

// TestTicketEncodingIsStable checks that the encoding of tickets does not change between releases. Callers hold
// tickets, and nodes of another release read the address from a ticket to forward the request.
func TestTicketEncodingIsStable(t *testing.T) {
	const minted = "0102030405060708000000000000000100000000b2d05e0031302e302e302e313a3731303082ac8ee00ea8afded25bdf9f9df03b90"
	ticket := NewTable("10.0.0.1:7100", 0x0102030405060708, []byte("key")).Mint(3 * time.Second)
	if got := hex.EncodeToString(ticket); got != minted {
		t.Errorf("ticket %s, want %s", got, minted)
	}
	want := Ticket{Address: "10.0.0.1:7100", Generation: 0x0102030405060708, Sequence: 1, MintedAt: 3 * time.Second}
	if got, err := Parse(ticket); err != nil || got != want {
		t.Errorf("parsed as %+v, error %v, want the fields that were minted", got, err)
	}
}
