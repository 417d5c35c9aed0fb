package engine

import (
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/intent"
	"stiletrail/internal/message"
	"stiletrail/internal/platform"
	"stiletrail/internal/query"
	"stiletrail/internal/rollout"
)

const self = "10.0.0.1:7200"

func lookupDocument() catalog.Document {
	return catalog.Document{Service: "lookup", Version: 1, Specification: catalog.Specification{
		DeadlineMilliseconds: 100,
		BackEnds:             []catalog.BackEnd{{Address: "10.1.0.1:80", Slots: 4, Connections: 8}},
	}}
}

// newLoneNode returns a node without peers that has read the store and is ready.
func newLoneNode(t *testing.T) *Engine {
	t.Helper()
	identity := Identity{Address: self, Zone: "zone-a", Generation: 1, Incarnation: 1, TicketKey: []byte("key")}
	e := New(0, identity, DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	output := e.Tick(time.Second)
	if output.StoreLists != 1 {
		t.Fatalf("got %d requests for a listing of the store, want 1", output.StoreLists)
	}
	entry := platform.Entry{Key: platform.ServicePrefix + "lookup", Stamp: platform.Stamp{Version: 9}, Value: lookupDocument().Encode()}
	output = e.StoreListDone(time.Second, []platform.Entry{{Key: entry.Key, Stamp: entry.Stamp}}, true)
	if len(output.StoreReads) != 1 || e.Ready() {
		t.Fatalf("after the listing: got reads %v, ready %t, want one read and not ready", output.StoreReads, e.Ready())
	}
	e.StoreReadDone(time.Second, output.StoreReads[0].Operation, rollout.Done, entry)
	if !e.Ready() || e.Catalog().Version("lookup") != 1 {
		t.Fatalf("after the read: got ready %t, version %d, want true and version 1", e.Ready(), e.Catalog().Version("lookup"))
	}
	return e
}

// searchFailure returns the failure of the only search answer in an output, or nil.
func searchFailure(output Output) *failure.Failure {
	if len(output.SearchAnswers) != 1 {
		return nil
	}
	return output.SearchAnswers[0].Failure
}

// TestFrozenNodeRefusesUntilItHasRejoined guards against a node that goes on with an outdated configuration after its
// process was frozen. After a gap without any call the node must refuse new work until it has read the store or joined
// its peers.
func TestFrozenNodeRefusesUntilItHasRejoined(t *testing.T) {
	e := newLoneNode(t)
	if refused := searchFailure(e.Search(1100*time.Millisecond, 1, SearchRequest{Service: "lookup"})); refused != nil {
		t.Fatalf("a ready node refused a search: %v", refused)
	}
	refused := searchFailure(e.Search(time.Minute, 2, SearchRequest{Service: "lookup"}))
	if refused == nil || refused.Code != failure.NotReady || !refused.NotRun || refused.RetryAfter == 0 {
		t.Errorf("got failure %v after a freeze, want NOT_READY as not run with a retry-after time", refused)
	}
	output := e.Tick(time.Minute + 100*time.Millisecond)
	if output.StoreLists != 1 {
		t.Errorf("got %d requests for a listing of the store after a freeze, want 1", output.StoreLists)
	}
}

// TestRefusalsAreFinalAtOnce checks that a search that the node cannot accept is refused in the same call, as not run.
func TestRefusalsAreFinalAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(e *Engine)
		service string
		code    failure.Code
	}{
		{"unknown service", func(*Engine) {}, "nothing", failure.UnknownService},
		{"node is leaving", func(e *Engine) { e.Leave(time.Second) }, "lookup", failure.Leaving},
		{"too many in flight", func(e *Engine) { e.settings.MaximumQueries = 0 }, "lookup", failure.Overloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newLoneNode(t)
			c.prepare(e)
			refused := searchFailure(e.Search(1100*time.Millisecond, 1, SearchRequest{Service: c.service}))
			if refused == nil || refused.Code != c.code || !refused.NotRun {
				t.Errorf("got failure %v, want one with the case's code, as not run", refused)
			}
		})
	}
}

// TestUnexpectedAnswersAreIgnored checks that answers for which no request is in flight are dropped.
func TestUnexpectedAnswersAreIgnored(t *testing.T) {
	e := newLoneNode(t)
	for _, m := range []message.Message{
		&message.SubAnswer{Done: true}, &message.SubCancel{}, &message.ForwardReply{Sequence: 3}, &message.VersionReply{Sequence: 3},
		&message.CatalogAck{Operation: 3}, &message.GroupState{Service: "lookup", Group: 77}, &message.ProbeAck{Sequence: 5},
	} {
		output := e.Receive(1100*time.Millisecond, "10.0.0.2:7200", m)
		if len(output.SearchAnswers)+len(output.ExecuteAnswers)+len(output.Attempts) > 0 {
			t.Errorf("message of kind %d caused an answer or an attempt, want none", m.Kind())
		}
	}
}

// addPeer makes a node learn of a peer in the given zone.
func addPeer(t *testing.T, e *Engine, now time.Duration, address, zone string) {
	t.Helper()
	e.Receive(now, address, &message.MemberSync{Updates: []message.MemberUpdate{{Address: address, Zone: zone, Generation: 5, Incarnation: 1, State: 1}}})
	if len(e.Members()) < 2 {
		t.Fatal("the node does not list the peer as a member")
	}
}

// TestLeavingNodeServesOn checks that a leaving node still serves sub-queries during its grace period. Roots send them
// as long as they do not know that the node leaves.
func TestLeavingNodeServesOn(t *testing.T) {
	e := newLoneNode(t)
	addPeer(t, e, time.Second, "10.0.0.2:7200", "zone-a")
	holding := query.Holding{State: query.StateServing, Epoch: 1, ShardsTotal: 1, Shards: []uint32{0}, OldestVersion: 1, NewestVersion: 1}
	e.DescribeDone(time.Second, "lookup", "10.1.0.1:80", holding, true)
	e.Leave(1100 * time.Millisecond)
	ask := func(now time.Duration, sequence uint64) Output {
		return e.Receive(now, "10.0.0.2:7200", &message.SubQuery{
			ID: query.ID{Generation: 5, Sequence: sequence}, Service: "lookup", Shards: []uint32{0},
			Snapshot: query.Snapshot{Version: 1, Epoch: 1}, RemainingMicroseconds: 100000,
		})
	}
	if output := ask(1200*time.Millisecond, 1); len(output.Attempts) != 1 {
		t.Errorf("a leaving node started %d attempts in its grace period, want 1", len(output.Attempts))
	}
	if output := ask(3200*time.Millisecond, 2); len(output.Attempts) != 0 || len(output.Sends) == 0 {
		t.Errorf("a leaving node started %d attempts after its grace period, want none and an answer", len(output.Attempts))
	}
}

// TestAcceptanceWaitsForCopies checks that a confirmation is reported as accepted only when peers hold the document, or
// after a bounded wait. Otherwise an accepted change could be lost together with this node and the store.
func TestAcceptanceWaitsForCopies(t *testing.T) {
	for _, acked := range []bool{true, false} {
		e := newLoneNode(t)
		addPeer(t, e, time.Second, "10.0.0.2:7200", "zone-b")
		e.Tick(12 * time.Second) // the wait for peers to join is over by then
		e.StoreListDone(12*time.Second, []platform.Entry{{Key: platform.ServicePrefix + "lookup", Stamp: platform.Stamp{Version: 9}}}, true)
		wanted := intent.Intent{Service: "lookup", Specification: lookupDocument().Specification}
		output := e.Confirm(12100*time.Millisecond, 7, ConfirmRequest{Intent: wanted, BaseVersion: 1, Operation: "op"})
		operation := output.StoreReads[0].Operation
		stored := platform.Entry{Stamp: platform.Stamp{Version: 9}, Value: lookupDocument().Encode()}
		output = e.StoreReadDone(12100*time.Millisecond, operation, rollout.Done, stored)
		if len(output.StoreWrites) != 1 || output.StoreWrites[0].Base.Version != 9 {
			t.Fatalf("got writes %+v, want one with base version 9", output.StoreWrites)
		}
		output = e.StoreWriteDone(12100*time.Millisecond, operation, rollout.Done, true)
		if len(output.ConfirmAnswers) != 0 {
			t.Error("the confirmation was reported as accepted before any peer holds the document")
		}
		if acked {
			output = e.Receive(12110*time.Millisecond, "10.0.0.2:7200", &message.CatalogAck{Operation: operation})
		} else {
			output = e.Tick(12700 * time.Millisecond)
		}
		if len(output.ConfirmAnswers) != 1 || output.ConfirmAnswers[0].Failure != nil || (output.ConfirmAnswers[0].Copies == 1) != acked {
			t.Errorf("copy acknowledged %t: got answers %+v, want one without failure and a matching number of copies", acked, output.ConfirmAnswers)
		}
	}
}

// TestListedChangesAreRead checks that a change whose watch event was lost is found by the next listing of the store.
func TestListedChangesAreRead(t *testing.T) {
	e := newLoneNode(t)
	output := e.Tick(7 * time.Second)
	for now := 7 * time.Second; output.StoreLists == 0 && now < 20*time.Second; now += 100 * time.Millisecond {
		output = e.Tick(now)
	}
	changed := platform.Entry{Key: platform.ServicePrefix + "lookup", Stamp: platform.Stamp{Version: 10}}
	output = e.StoreListDone(20*time.Second, []platform.Entry{changed}, true)
	if len(output.StoreReads) != 1 || output.StoreReads[0].Service != "lookup" {
		t.Errorf("got reads %+v, want one of service lookup", output.StoreReads)
	}
}

// TestListedEntryOfAnotherEraIsRead checks that an entry with a known version is read again if the store's era has
// changed. The store was then restored from a backup, and the same version may belong to another write.
func TestListedEntryOfAnotherEraIsRead(t *testing.T) {
	e := newLoneNode(t)
	list := func(at time.Duration, era uint64) []StoreRead {
		entry := platform.Entry{Key: platform.ServicePrefix + "lookup", Stamp: platform.Stamp{Era: era, Version: 9}}
		output := e.StoreListDone(at, []platform.Entry{entry}, true)
		for _, read := range output.StoreReads {
			e.StoreReadDone(at, read.Operation, rollout.Done, platform.Entry{Stamp: entry.Stamp, Value: lookupDocument().Encode()})
		}
		return output.StoreReads
	}
	for i, c := range []struct {
		era  uint64
		read int
	}{{0, 0}, {1, 1}, {1, 0}, {2, 1}} {
		if reads := list(time.Duration(20+i)*time.Second, c.era); len(reads) != c.read {
			t.Errorf("listing %d, of era %d: got %d reads, want the case's number", i, c.era, len(reads))
		}
	}
}
