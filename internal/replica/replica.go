// Package replica keeps what a node believes of the back ends of each service, and picks one for an attempt.
//
// It reads no clock and does no I/O. Times are of the caller's monotonic clock, as durations from an arbitrary start.
// It is not safe for concurrent use.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is a back end as the discovery service tells it.
type Entry struct {
	// ID names one incarnation of a back end.
	ID      string
	Service string
	// Address is an IP address and port; another incarnation may have it later.
	Address string
	Zone    string
	// Version of its software, empty where it is not told.
	Version string
	// Slots is the number of requests the back end works on at a time.
	Slots    int
	Draining bool
	// ColdFor is how much longer the back end is slow after its start.
	ColdFor time.Duration
}

// Replica is a back end with what attempts at it have shown.
type Replica struct {
	Entry
	// inFlight has the start of each attempt under way, oldest first.
	inFlight []time.Duration
	// latency is a moving average, floor the least it takes of late; sampledAt is when they were last brought up to date.
	latency   time.Duration
	floor     time.Duration
	sampledAt time.Duration
	coldUntil time.Duration
	// failures in a row, and until when the replica is only picked as a last choice.
	failures     int
	ejectedUntil time.Duration
	// crowdedUntil: it has turned connections away of late.
	crowdedUntil time.Duration
	// doubtful: the entry has vanished without proof that the back end leaves; it is used until doubtedUntil.
	doubtful     bool
	doubtedUntil time.Duration
	// misdirected: the address answers for another back end.
	misdirected bool
	// withdrawnFactor and byPace are of the settings.
	withdrawnFactor float64
	byPace          bool
	// affinity of this node to the replica; outside the subset of its service that the node prefers.
	affinity uint64
	outside  bool
	// region of its zone, empty where that is not known; evacuated: its zone is to get nothing.
	region    string
	evacuated bool
	// key is the hash of the id, by which nodes tell each other of it.
	key uint64
	// pace at which it works, as it or another node told at paceAt; 0 while nobody told.
	pace   float64
	paceAt time.Duration
	// faults is the share of attempts of late that failed, as of faultsAt.
	faults   float64
	faultsAt time.Duration
	// load is the last that it told, at a moment.
	load   Load
	loadAt time.Duration
	// cold is what it may get from this node while it is cold.
	cold coldStarts
}

// InFlight is the number of attempts under way.
func (r *Replica) InFlight() int { return len(r.inFlight) }

// Latency is the average the choice goes by.
func (r *Replica) Latency() time.Duration { return r.latency }

// Floor is the least that an answer of the replica takes: the way there and back.
func (r *Replica) Floor() time.Duration { return r.floor }

// Least is the least that an answer takes by what is known now. What was learned is worth half as much each forgetAfter in which nothing was tried: answers that
// came while this node stood still say that it takes seconds, and who goes by that for good makes no attempt that would show otherwise.
func (r *Replica) Least(now time.Duration) time.Duration {
	least := r.floor
	for unused := now - r.sampledAt; unused >= forgetAfter && least > unknownLatency; unused -= forgetAfter {
		least /= 2
	}
	return least
}

// Doubtful reports whether the replica's entry has vanished without proof that the back end leaves.
func (r *Replica) Doubtful() bool { return r.doubtful }

// Ejected reports whether the replica is a last choice at the moment.
func (r *Replica) Ejected(now time.Duration) bool { return now < r.ejectedUntil }

// Crowded reports whether the replica may be at the limit of the connections that it takes, so that a new one must prove itself.
func (s *Set) Crowded(now time.Duration, r *Replica) bool {
	return s.settings.Prove && (s.young || now < r.crowdedUntil)
}

// SetYoung says whether back ends may still count connections of earlier lives of many nodes.
func (s *Set) SetYoung(young bool) { s.young = young }

// Places tells how far a back end is.
type Places struct {
	// Node is the name of this node.
	Node string
	Zone string
	// Regions gives the region of each zone.
	Regions map[string]string
}

// KnowsRegion reports whether a zone of a region is known.
func (p Places) KnowsRegion(name string) bool {
	for _, region := range p.Regions {
		if region == name {
			return true
		}
	}
	return false
}

// Settings of the choice of replicas.
type Settings struct {
	// Connections is the largest number of attempts this node has under way at one back end.
	Connections int
	// FarPrice is what a replica of another region is expected to cost beyond its latency, as a share of the request's target, so that requests stay near
	// unless the near replicas are worse by that much. Half of the target is worth 0.004 (0.002) more than 0.3 of it; 130 ms, which that is at a target of
	// 260 ms, kept near replicas at targets of 150 and 120 ms that took eight times their usual time (users' worth of a day, paired runs).
	FarPrice float64
	// FaultPrice is what an attempt that fails costs, as a share of the request's target. On a day on which half of the back ends refuse 45% of what they get
	// with slots free, worth rises from 0.36 without it to 0.45 at 1 and by 0.09 more at 2; nothing at 4, and nothing on other days.
	FaultPrice float64
	// GoByPace multiplies the latency that is expected by the pace that the replica tells, which is what nodes can tell each other wherever they are. By
	// itself it is worth nothing; reports that carry it are worth 0.027 (0.010) where back ends tell it (users' worth of a day, paired runs).
	GoByPace bool
	// SubsetSize is how many near replicas of a service are preferred where its share of their connections is not ample.
	SubsetSize int
	// FewRest lets only one connection rest there.
	FewRest bool
	// Ejection makes failing replicas a last choice for a while.
	Ejection bool
	// WithdrawnFactor times its age is taken for the latency of an attempt that was withdrawn without an answer.
	WithdrawnFactor float64
	// Prove has new connections to a crowded replica prove themselves.
	Prove bool
}

// Set is all back ends known to a node.
type Set struct {
	settings  Settings
	places    Places
	random    *rand.Rand
	byID      map[string]*Replica
	byKey     map[uint64]*Replica
	byService map[string][]*Replica
	// shares of the connections by service, where they differ from the settings'.
	shares map[string]Share
	young  bool
	// evacuated zones, whose back ends get nothing.
	evacuated map[string]bool
	// warmups by service, and the nodes that share what cold back ends bear.
	warmups map[string]Warmup
	fleet   fleet
	// left are back ends that have left; until oldUntil an entry of one of them is taken for an old one.
	left     map[string]leaver
	oldUntil time.Duration
}

// NewSet returns an empty set.
func NewSet(settings Settings, places Places, random *rand.Rand) *Set {
	return &Set{
		settings: settings, places: places, random: random,
		byID: map[string]*Replica{}, byKey: map[uint64]*Replica{}, byService: map[string][]*Replica{}, evacuated: map[string]bool{}, left: map[string]leaver{},
	}
}

// Reconfigure changes how replicas are chosen from now on.
func (s *Set) Reconfigure(settings Settings, places Places) {
	s.settings, s.places = settings, places
	for _, known := range s.byID {
		known.withdrawnFactor, known.byPace = settings.WithdrawnFactor, settings.GoByPace
		s.locate(known)
	}
	s.preferSubsets()
}

// Len is the number of back ends, vanished ones in doubt included.
func (s *Set) Len() int { return len(s.byID) }

// Get returns the back end of an id, or nil.
func (s *Set) Get(id string) *Replica { return s.byID[id] }

// Put takes in an entry as it is now. It reports whether anything changed that a choice goes by. A back end that leaves does not change its mind: an
// entry that says otherwise is older, from a copy of the store or a write that was held up.
func (s *Set) Put(now time.Duration, entry Entry) bool {
	known := s.byID[entry.ID]
	if known == nil && s.isOld(now, entry) {
		return false
	}
	if known != nil && known.Service == entry.Service {
		entry.Draining = entry.Draining || known.Draining
		changed := known.Draining != entry.Draining || known.Address != entry.Address || known.doubtful
		known.Entry = entry
		known.doubtful = false
		known.coldUntil = now + entry.ColdFor
		s.locate(known)
		if changed {
			s.preferSubset(entry.Service)
		}
		return changed
	}
	if known != nil {
		s.forget(known)
	}
	added := &Replica{
		Entry: entry, sampledAt: now, coldUntil: now + entry.ColdFor, affinity: affinity(s.places.Node, entry.ID),
		withdrawnFactor: s.settings.WithdrawnFactor, byPace: s.settings.GoByPace, key: xxhash.Sum64String(entry.ID),
	}
	s.locate(added)
	s.byID[entry.ID] = added
	s.byKey[added.key] = added
	s.byService[entry.Service] = append(s.byService[entry.Service], added)
	s.preferSubset(entry.Service)
	return true
}

// Remove takes in that an entry has vanished. It is used on until a moment, as a second choice, since a store in trouble may lose entries of back
// ends that are well; not at all where that is not later than now.
func (s *Set) Remove(now time.Duration, id string, until time.Duration) bool {
	known := s.byID[id]
	if known == nil {
		s.withdrawOld(id)
		return false
	}
	if until <= now {
		s.noteLeft(now, id)
		s.forget(known)
		return true
	}
	if known.doubtful {
		return false
	}
	known.doubtful, known.doubtedUntil = true, until
	return true
}

// Expire forgets vanished entries whose time of doubt is over, and returns their ids.
func (s *Set) Expire(now time.Duration) []string {
	var expired []string
	for id, known := range s.byID {
		if known.doubtful && now >= known.doubtedUntil {
			expired = append(expired, id)
			s.noteLeft(now, id)
			s.forget(known)
		}
	}
	return expired
}

// All calls visit for each back end.
func (s *Set) All(visit func(*Replica)) {
	for _, known := range s.byID {
		visit(known)
	}
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
		s.preferSubset(known.Service)
		return
	}
}
