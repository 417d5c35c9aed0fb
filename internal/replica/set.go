// Package replica keeps what a node knows about the back ends of each service, and picks one for each attempt; pick.go
// describes the rule.
//
// It owns the list of the back ends in the store, the list of those that left recently, and the state that attempts
// reveal about each: latency, slowdown, faults and ejection. Its caller supplies store entries, load reports, results
// of attempts, reports of other nodes and the node's share of connections.
//
// The package does no I/O, starts no goroutine and reads no clock. Times are durations since an arbitrary start on the
// caller's monotonic clock. Random numbers come from the caller's source, one for each replica that Pick scores. A Set
// is not safe for concurrent use.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Set holds all back ends known to a node.
type Set struct {
	settings  Settings
	topology  Topology
	random    *rand.Rand
	byID      map[string]*Replica
	byKey     map[uint64]*Replica
	byService map[string][]*Replica
	// blamed has the keys of the back ends with a shared verdict.
	blamed map[uint64]bool
	// shares holds the shares of connections by service. A service without one is limited by Settings.Connections.
	shares map[string]ConnectionShare
	// manyNodesStarting is set while many nodes have started recently: back ends may still count the connections of the
	// nodes' previous processes.
	manyNodesStarting bool
	// evacuated holds the evacuated zones, whose back ends get no requests.
	evacuated map[string]bool
	// warmups holds the warm-up parameters by service. nodes are the nodes that share the request rate of cold back
	// ends.
	warmups map[string]Warmup
	nodes   nodeList
	// departed holds the back ends that left recently, by id. Until distrustedUntil, entries with these ids are held
	// back.
	departed        map[string]departedBackEnd
	distrustedUntil time.Duration
}

// NewSet returns an empty set.
func NewSet(settings Settings, topology Topology, random *rand.Rand) *Set {
	return &Set{
		settings: settings, topology: topology, random: random, byID: map[string]*Replica{}, byKey: map[uint64]*Replica{},
		byService: map[string][]*Replica{}, blamed: map[uint64]bool{}, evacuated: map[string]bool{}, departed: map[string]departedBackEnd{},
	}
}

// Reconfigure applies new settings and a new topology to all later calls.
func (s *Set) Reconfigure(settings Settings, topology Topology) {
	s.settings, s.topology = settings, topology
	for _, known := range s.byID {
		known.cancelledFactor, known.useSlowdown = settings.CancelledFactor, settings.UseSlowdown
		s.refreshZone(known)
	}
	s.selectSubsets()
}

// Len returns the number of back ends, including doubtful ones.
func (s *Set) Len() int { return len(s.byID) }

// Get returns the back end with an id, or nil if there is none.
func (s *Set) Get(id string) *Replica { return s.byID[id] }

// ForEach calls visit for each back end.
func (s *Set) ForEach(visit func(*Replica)) {
	for _, known := range s.byID {
		visit(known)
	}
}

// RandomFloat64 returns a random number in [0, 1) from the set's own source.
func (s *Set) RandomFloat64() float64 { return s.random.Float64() }

// Put stores the current entry of a back end. It reports whether anything changed that affects picking. An entry of an
// earlier incarnation is outdated and ignored; it may come from a restored backup of the store, from a peer or from a
// delayed write. An entry of a later incarnation is a new back end, about which nothing is known.
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

// putNew stores an entry whose id no replica has, unless it is an outdated entry of a back end that has left. It
// reports whether the entry was stored.
func (s *Set) putNew(now time.Duration, entry Entry) bool {
	entry, current := s.reconcileDeparted(now, entry)
	if current {
		s.add(now, entry)
	}
	return current
}

// updateKnown stores a new entry of a known replica and reports whether anything changed that affects picking. A back
// end that drains does not return to service, so an entry that says otherwise is outdated. If the address has changed,
// the observation that another back end answers at the old address no longer applies.
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
		Entry: entry, key: xxhash.Sum64String(entry.Incarnation()), affinity: affinity(s.topology.Node, entry.ID),
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
