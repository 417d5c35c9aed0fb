package rollout

import (
	"testing"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
)

const operation = "op"

// driver runs a rollout as its caller does: each of its steps answers the present request.
type driver struct {
	rollout *Rollout
	request Request
	now     time.Duration
}

func start(base uint64, inForce catalog.Document) *driver {
	d := &driver{}
	d.rollout, d.request = New(0, Change{Service: "lookup", Operation: operation, BaseVersion: base}, func() catalog.Document { return inForce })
	return d
}

func (d *driver) read(outcome Outcome, stored catalog.Document) {
	d.request = d.rollout.ReadDone(d.now, outcome, platform.Stamp{Version: stored.Version}, stored)
}

func (d *driver) wrote(outcome Outcome, swapped bool) {
	d.request = d.rollout.WriteDone(d.now, outcome, swapped)
}

// wait advances the time until the rollout makes a request.
func (d *driver) wait() {
	for range 100 {
		d.now = max(d.now, d.rollout.NextWake())
		d.request = d.rollout.Tick(d.now)
		if d.request != nil {
			return
		}
	}
}

// refuseAll answers every read with a refusal until the rollout ends at its deadline.
func (d *driver) refuseAll() {
	for d.rollout.phase != ended {
		if d.read(Refused, catalog.Document{}); d.rollout.phase != ended {
			d.wait()
		}
	}
}

func (d *driver) result() *Result {
	switch request := d.request.(type) {
	case Replicate:
		d.request = d.rollout.SentToPeers(0)
		return d.result()
	case Result:
		return &request
	}
	return nil
}

func document(version uint64, operations ...string) catalog.Document {
	return catalog.Document{Service: "lookup", Version: version, Operations: operations}
}

// TestOutcomes checks what the operator is told for each behaviour of the store. A change must never be reported as
// failed if it took effect, nor as accepted if it did not, whichever answers of the store are lost.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name string
		run  func(d *driver)
		code failure.Code
		// version is the accepted version, or the version in force after a conflict.
		version uint64
		notRun  bool
	}{
		{"accepted", func(d *driver) { d.read(Done, document(1)); d.wrote(Done, true) }, "", 2, false},
		{"changed after the plan was made", func(d *driver) { d.read(Done, document(2, "other")) }, failure.Conflict, 2, true},
		{"another change written between read and write", func(d *driver) {
			d.read(Done, document(1))
			d.wrote(Done, false)
			d.read(Done, document(2, "other"))
		}, failure.Conflict, 2, true},
		{"answer lost after the write", func(d *driver) {
			d.read(Done, document(1))
			d.wrote(Unknown, false)
			d.wait()
			d.read(Done, document(2, operation))
		}, "", 2, false},
		{"answer lost after the write, then two more changes by others", func(d *driver) {
			d.read(Done, document(1))
			d.wrote(Unknown, false)
			d.wait()
			d.read(Done, document(4, operation, "b", "c"))
		}, "", 4, false},
		{"answer lost before the write", func(d *driver) {
			d.read(Done, document(1))
			d.wrote(Unknown, false)
			d.wait()
			d.read(Done, document(1))
			d.wrote(Done, true)
		}, "", 2, false},
		{"swap failed because of an earlier write of the same operation", func(d *driver) {
			d.read(Done, document(1))
			d.wrote(Unknown, false)
			d.wait()
			d.read(Done, document(1))
			d.wrote(Done, false)
			d.read(Done, document(2, operation))
		}, "", 2, false},
		{"store unreachable", func(d *driver) {
			d.refuseAll()
		}, failure.StoreUnavailable, 0, true},
		{"store unreachable after the write was sent", func(d *driver) {
			d.read(Done, document(1))
			d.wrote(Unknown, false)
			d.wait()
			d.refuseAll()
		}, failure.OutcomeUnknown, 0, false},
		{"no answer at all to the write", func(d *driver) {
			d.read(Done, document(1))
			d.wait()
		}, failure.OutcomeUnknown, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := start(1, document(1))
			c.run(d)
			result := d.result()
			if result == nil {
				t.Fatal("the rollout gave no result")
			}
			if c.code == "" {
				if result.Failure != nil || result.Version != c.version {
					t.Errorf("version %d, failure %v, want the version of the case and no failure", result.Version, result.Failure)
				}
				return
			}
			if result.Failure == nil || result.Failure.Code != c.code || result.Failure.NotRun != c.notRun || result.Failure.CurrentVersion != c.version {
				t.Errorf("failure %+v, want the code, current version and not-run flag of the case", result.Failure)
			}
		})
	}
}

// TestVersionsOfAnotherEra checks that the first change in an era of the store gets a version far above those of
// earlier eras, and that versions rise by one within an era. Otherwise two different changes could get the same
// version after the store was restored from a backup.
func TestVersionsOfAnotherEra(t *testing.T) {
	for _, c := range []struct{ era, held, want uint64 }{{0, 5, 6}, {2, 5, 2_000_000_001}, {2, 2_000_000_001, 2_000_000_002}, {2, 3_000_000_007, 3_000_000_008}} {
		d := start(c.held, document(c.held))
		d.request = d.rollout.ReadDone(d.now, Done, platform.Stamp{Era: c.era, Version: 3}, document(3))
		if write, ok := d.request.(Write); !ok || write.Document.Version != c.want || write.BaseStamp.Era != c.era {
			t.Errorf("era %d: request %+v, want version %d", c.era, d.request, c.want)
		}
	}
}

// TestOlderDocumentInStoreIsReplaced checks that a change is based on the document in force, not on an older one in a
// store that was restored from a backup.
func TestOlderDocumentInStoreIsReplaced(t *testing.T) {
	d := start(5, document(5, "newest"))
	d.read(Done, document(3))
	if write, ok := d.request.(Write); !ok || write.Document.Version != 6 || write.BaseStamp.Version != 3 {
		t.Errorf("request %+v, want a write of version 6 over version 3", d.request)
	}
}
