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
	if _, use, _, _ := table.Use(0, used, []byte("a")); use != Fresh {
		t.Fatalf("use %d of a new ticket", use)
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
			_, use, _, problem := c.table.Use(c.now, c.ticket, []byte(c.body))
			if use != 0 || problem == nil || problem.Code != c.code || problem.NotRun != c.notRun {
				t.Errorf("use %d, failure %v", use, problem)
			}
		})
	}
}

func TestResendsGetTheOutcome(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	ticket := table.Mint(0)
	parsed, use, _, _ := table.Use(time.Second, ticket, []byte("a"))
	if use != Fresh {
		t.Fatalf("use %d", use)
	}
	if _, use, _, _ = table.Use(2*time.Second, ticket, []byte("a")); use != Running {
		t.Errorf("use %d while running", use)
	}
	table.Finish(parsed.Sequence, Outcome{Shard: 3})
	_, use, outcome, _ := table.Use(3*time.Second, ticket, []byte("a"))
	if use != Finished || outcome.Shard != 3 {
		t.Errorf("use %d, outcome %v", use, outcome)
	}
	// Long after, the outcome may be forgotten; it never runs again.
	if _, use, _, problem := table.Use(time.Hour, ticket, []byte("a")); use == Fresh || (use == 0 && problem.NotRun) {
		t.Errorf("use %d, failure %v after an hour", use, problem)
	}
	table.Mint(time.Hour)
	if _, use, _, _ := table.Use(2*time.Hour, ticket, []byte("a")); use == Fresh {
		t.Error("a forgotten ticket ran again")
	}
}

// TestRefusalIsFinal: a copy of a refused request that comes later gets the same refusal and does not run.
func TestRefusalIsFinal(t *testing.T) {
	table := NewTable("10.0.0.1:7200", 5, []byte("key"))
	ticket := table.Mint(0)
	parsed, _, _, _ := table.Use(0, ticket, []byte("a"))
	table.Finish(parsed.Sequence, Outcome{Failure: failure.Refused(failure.NotReady, "not ready", 0)})
	_, use, outcome, _ := table.Use(time.Second, ticket, []byte("a"))
	if use != Finished || outcome.Failure == nil || !outcome.Failure.NotRun {
		t.Errorf("use %d, outcome %v", use, outcome)
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
