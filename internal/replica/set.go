// Package replica keeps what a node believes of the back ends of each service, and picks one for an attempt: see
// pick.go for the rule.
//
// It owns the back ends that the store names, those that left it of late, and what attempts at each have shown:
// latency, slowdown, faults, ejection. It goes by the entries, loads, verdicts on attempts, reports of other nodes and
// shares that its caller hands in.
//
// It does no I/O, has no goroutines and reads no clock: times are of the caller's monotonic clock, as durations from an
// arbitrary start. Random numbers are drawn from the caller's source, one for each replica that Pick scores. It is not
// safe for concurrent use.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Set is all back ends known to a node.
type Set struct {
	settings  Settings
	places    Topology
	random    *rand.Rand
	byID      map[string]*Replica
	byKey     map[uint64]*Replica
	byService map[string][]*Replica
	// shares of the connections by service, where they differ from the settings'.
	shares map[string]ConnectionShare
	// manyNodesStarting: back ends may still count connections of earlier lives of many nodes.
	manyNodesStarting bool
	// evacuated zones, whose back ends get nothing.
	evacuated map[string]bool
	// warmups by service, and the nodes that divide what cold back ends bear.
	warmups map[string]Warmup
	nodes   nodeList
	// departed are back ends that have left; until distrustedUntil entries that name them are put aside.
	departed        map[string]departedBackEnd
	distrustedUntil time.Duration
}

// NewSet returns an empty set.
func NewSet(settings Settings, places Topology, random *rand.Rand) *Set {
	return &Set{
		settings: settings, places: places, random: random, byID: map[string]*Replica{}, byKey: map[uint64]*Replica{},
		byService: map[string][]*Replica{}, evacuated: map[string]bool{}, departed: map[string]departedBackEnd{},
	}
}

// Reconfigure changes how replicas are chosen from now on.
func (s *Set) Reconfigure(settings Settings, places Topology) {
	s.settings, s.places = settings, places
	for _, known := range s.byID {
		known.cancelledFactor, known.useSlowdown = settings.CancelledFactor, settings.UseSlowdown
		s.refreshZone(known)
	}
	s.selectSubsets()
}

// Len is the number of back ends, vanished ones in doubt included.
func (s *Set) Len() int { return len(s.byID) }

// Get returns the back end of an id, or nil.
func (s *Set) Get(id string) *Replica { return s.byID[id] }

// ForEach calls visit for each back end.
func (s *Set) ForEach(visit func(*Replica)) {
	for _, known := range s.byID {
		visit(known)
	}
}

// RandomFloat64 returns a random number from 0 to 1, of the set's own source.
func (s *Set) RandomFloat64() float64 { return s.random.Float64() }

// Put takes in an entry as it is now. It reports whether anything changed that a choice goes by. One of an earlier start of the
// back end is old, whenever it comes: from a copy of the store, by a peer, or by a write that was held up. One of a later start
// is another back end, of which nothing is known.
func (s *Set) Put(now time.Duration, entry Entry) bool {
	known := s.byID[entry.ID]
	if known == nil {
		return s.putNew(now, entry)
	}
	switch {
	case entry.startedBefore(known.Entry):
		return false
	case entry.startedAfter(known.Entry), entry.Service != known.Service:
		s.forget(known)
		s.add(now, entry)
		return true
	}
	return s.updateKnown(now, known, entry)
}

// putNew takes in an entry whose id no replica has, unless it is an old one of a back end that has left.
func (s *Set) putNew(now time.Duration, entry Entry) bool {
	entry, current := s.reconcileDeparted(now, entry)
	if current {
		s.add(now, entry)
	}
	return current
}

// updateKnown takes in another entry of a replica, and reports whether anything changed that a choice goes by. A back end that
// leaves does not change its mind, and what answered for it at another address says nothing of this one.
func (s *Set) updateKnown(now time.Duration, known *Replica, entry Entry) bool {
	entry.Draining = entry.Draining || known.Draining
	entry.StartedAt = known.StartedAt
	moved := known.Address != entry.Address
	changed := known.Draining != entry.Draining || moved || known.Doubtful()
	known.Entry = entry
	known.doubt.doubtful = false
	known.misdirected = known.misdirected && !moved
	known.cold.until = now + entry.WarmupLeft
	s.refreshZone(known)
	if changed {
		s.selectSubset(entry.Service)
	}
	return changed
}

func (s *Set) add(now time.Duration, entry Entry) {
	added := &Replica{
		Entry: entry, key: xxhash.Sum64String(entry.Incarnation()), affinity: affinity(s.places.Node, entry.ID),
		latency: latency{sampledAt: now}, cold: coldPhase{until: now + entry.WarmupLeft},
		cancelledFactor: s.settings.CancelledFactor, useSlowdown: s.settings.UseSlowdown,
	}
	s.refreshZone(added)
	s.byID[entry.ID] = added
	s.byKey[added.key] = added
	s.byService[entry.Service] = append(s.byService[entry.Service], added)
	s.selectSubset(entry.Service)
}

func (s *Set) forget(known *Replica) {
	delete(s.byID, known.ID)
	delete(s.byKey, known.key)
	members := s.byService[known.Service]
	for i, member := range members {
		if member != known {
			continue
		}
		members[i] = members[len(members)-1]
		members[len(members)-1] = nil
		s.byService[known.Service] = members[:len(members)-1]
		s.selectSubset(known.Service)
		return
	}
}
