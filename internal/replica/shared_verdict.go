package replica

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recheckPeriod is how long a node's turn lasts to try a back end that is at fault. It makes one attempt in its turn.
	recheckPeriod = time.Second
	// rechecksPerPeriod is the number of nodes that have their turn at the same time.
	rechecksPerPeriod = 2
	// minimumPeriods is the least number of turns of which a node has one, so that a small fleet does not try all the time.
	minimumPeriods = 2
	// otherRegionPeriods is how many times more seldom a node has its turn at a back end of another region, where it is the
	// nodes of that region that find out.
	otherRegionPeriods = 8
	// ownAnswerPrecedence is how long an answer to this node goes before the word of others that the back end cannot be
	// reached.
	ownAnswerPrecedence = time.Second
)

// SharedVerdict is what the nodes of a group have found together about a back end.
type SharedVerdict struct {
	// RefusedShare is the share of its attempts that the back end refuses although it has free slots, from 0 to 1.
	RefusedShare float64
	// Unreachable is set if no connections to it can be established.
	Unreachable bool
}

// verdictState is the verdict that this node was told about a replica.
type verdictState struct {
	SharedVerdict
	until time.Duration
	// turns is the number of turns of which this node has one. recheckedAt is when it made its last attempt in a turn.
	turns       uint64
	recheckedAt time.Duration
	// answeredAt is when the replica last answered this node.
	answeredAt time.Duration
}

// SetSharedVerdicts stores the verdicts that hold until the given time, by the keys of the back ends. They replace all
// earlier ones. nodes is the number of nodes that go by them, and take turns to try whether the back ends have recovered.
func (s *Set) SetSharedVerdicts(until time.Duration, verdicts map[uint64]SharedVerdict, nodes int) {
	for key := range s.blamed {
		if r := s.byKey[key]; r != nil {
			r.shared.SharedVerdict = SharedVerdict{}
		}
	}
	clear(s.blamed)
	for key, verdict := range verdicts {
		if r := s.byKey[key]; r != nil {
			r.shared.SharedVerdict, r.shared.until = verdict, until
			r.shared.turns = uint64(max(nodes/rechecksPerPeriod, minimumPeriods))
			if !s.inOwnRegion(r) {
				r.shared.turns *= otherRegionPeriods
			}
			s.blamed[key] = true
		}
	}
}

// current returns the verdict by which this node goes now. It goes by none in its turn to try the replica.
func (v *verdictState) current(now time.Duration, affinity uint64) SharedVerdict {
	if now >= v.until || v.SharedVerdict == (SharedVerdict{}) || v.mayRecheck(now, affinity) {
		return SharedVerdict{}
	}
	verdict := v.SharedVerdict
	if v.answeredAt > 0 && now-v.answeredAt < ownAnswerPrecedence {
		verdict.Unreachable = false
	}
	return verdict
}

// mayRecheck reports whether it is this node's turn to try the replica, and it has not yet done so. The turns are drawn from
// the affinity, so that few nodes have theirs at the same time.
func (v *verdictState) mayRecheck(now time.Duration, affinity uint64) bool {
	turn := now / recheckPeriod
	if v.recheckedAt > 0 && v.recheckedAt/recheckPeriod == turn {
		return false
	}
	drawn := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, affinity), uint64(turn))
	return xxhash.Sum64(drawn)%max(v.turns, minimumPeriods) == 0
}

// recordStart records that an attempt begins.
func (v *verdictState) recordStart(now time.Duration) {
	if now < v.until {
		v.recheckedAt = now
	}
}

// AtFault returns the number of back ends with a verdict that holds.
func (s *Set) AtFault(now time.Duration) (count int) {
	for key := range s.blamed {
		if r := s.byKey[key]; r != nil && now < r.shared.until {
			count++
		}
	}
	return count
}

// ByKey returns the back end with a key, or nil if there is none.
func (s *Set) ByKey(key uint64) *Replica { return s.byKey[key] }

// Siblings returns the back ends of the service of the one with the given key, or none if it is not known.
func (s *Set) Siblings(key uint64) []*Replica {
	r := s.byKey[key]
	if r == nil {
		return nil
	}
	return s.byService[r.Service]
}
