package rollout

import (
	"testing"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
)

const operation = "op"

// script drives a rollout: each step answers the present request.
type script struct {
	rollout *Rollout
	request Request
	now     time.Duration
}

func start(base uint64, held catalog.Document) *script {
	s := &script{}
	s.rollout, s.request = New(0, Change{Service: "lookup", Operation: operation, BaseVersion: base}, func() catalog.Document { return held })
	return s
}

func (s *script) read(outcome Outcome, stored catalog.Document) {
	s.request = s.rollout.ReadDone(s.now, outcome, platform.Stamp{Version: stored.Version}, stored)
}

func (s *script) wrote(outcome Outcome, swapped bool) {
	s.request = s.rollout.WriteDone(s.now, outcome, swapped)
}

// wait passes time until the rollout wants something.
func (s *script) wait() {
	for range 100 {
		s.now = max(s.now, s.rollout.NextWake())
		s.request = s.rollout.Tick(s.now)
		if s.request != nil {
			return
		}
	}
}

// refuseAll answers every read with a refusal until the rollout gives up.
func (s *script) refuseAll() {
	for s.rollout.phase != ended {
		if s.read(Refused, catalog.Document{}); s.rollout.phase != ended {
			s.wait()
		}
	}
}

func (s *script) result() *Result {
	switch request := s.request.(type) {
	case Replicate:
		s.request = s.rollout.SentToPeers(0)
		return s.result()
	case Result:
		return &request
	}
	return nil
}

func document(version uint64, operations ...string) catalog.Document {
	return catalog.Document{Service: "lookup", Version: version, Operations: operations}
}

// TestOutcomes: what the store does and what the operator is told.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *script)
		code failure.Code
		// version where accepted, or in force on a conflict.
		version uint64
		notRun  bool
	}{
		{"accepted", func(s *script) { s.read(Done, document(1)); s.wrote(Done, true) }, "", 2, false},
		{"the base has moved", func(s *script) { s.read(Done, document(2, "other")) }, failure.Conflict, 2, true},
		{"lost the race", func(s *script) {
			s.read(Done, document(1))
			s.wrote(Done, false)
			s.read(Done, document(2, "other"))
		}, failure.Conflict, 2, true},
		{"answer lost after the write", func(s *script) {
			s.read(Done, document(1))
			s.wrote(Unknown, false)
			s.wait()
			s.read(Done, document(2, operation))
		}, "", 2, false},
		{"answer lost, then others wrote on top", func(s *script) {
			s.read(Done, document(1))
			s.wrote(Unknown, false)
			s.wait()
			s.read(Done, document(4, operation, "b", "c"))
		}, "", 4, false},
		{"answer lost before the write", func(s *script) {
			s.read(Done, document(1))
			s.wrote(Unknown, false)
			s.wait()
			s.read(Done, document(1))
			s.wrote(Done, true)
		}, "", 2, false},
		{"swap lost to this very operation", func(s *script) {
			s.read(Done, document(1))
			s.wrote(Unknown, false)
			s.wait()
			s.read(Done, document(1))
			s.wrote(Done, false)
			s.read(Done, document(2, operation))
		}, "", 2, false},
		{"store down", func(s *script) {
			s.refuseAll()
		}, failure.StoreUnavailable, 0, true},
		{"store lost after the write was sent", func(s *script) {
			s.read(Done, document(1))
			s.wrote(Unknown, false)
			s.wait()
			s.refuseAll()
		}, failure.OutcomeUnknown, 0, false},
		{"no answer at all to the write", func(s *script) {
			s.read(Done, document(1))
			s.wait()
		}, failure.OutcomeUnknown, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(1, document(1))
			c.run(s)
			result := s.result()
			if result == nil {
				t.Fatal("no result")
			}
			if c.code == "" {
				if result.Failure != nil || result.Version != c.version {
					t.Errorf("version %d, failure %v", result.Version, result.Failure)
				}
				return
			}
			if result.Failure == nil || result.Failure.Code != c.code || result.Failure.NotRun != c.notRun || result.Failure.CurrentVersion != c.version {
				t.Errorf("failure %+v", result.Failure)
			}
		})
	}
}

// TestVersionsOfAnotherEra: in each era of the store versions go on from another number, above all before; within one they rise by one.
func TestVersionsOfAnotherEra(t *testing.T) {
	for _, c := range []struct{ era, held, want uint64 }{{0, 5, 6}, {2, 5, 2_000_000_001}, {2, 2_000_000_001, 2_000_000_002}, {2, 3_000_000_007, 3_000_000_008}} {
		s := start(c.held, document(c.held))
		s.request = s.rollout.ReadDone(s.now, Done, platform.Stamp{Era: c.era, Version: 3}, document(3))
		if write, ok := s.request.(Write); !ok || write.Document.Version != c.want || write.BaseStamp.Era != c.era {
			t.Errorf("era %d: request %+v, want version %d", c.era, s.request, c.want)
		}
	}
}

// TestStoreBehindIsWrittenOver: what is in force is the base, not the older copy in the store.
func TestStoreBehindIsWrittenOver(t *testing.T) {
	s := start(5, document(5, "newest"))
	s.read(Done, document(3))
	if write, ok := s.request.(Write); !ok || write.Document.Version != 6 || write.BaseStamp.Version != 3 {
		t.Errorf("request %+v", s.request)
	}
}
