// Package sharedhealth decides which back ends are at fault, from the attempts of many nodes.
//
// A node that gets one request a second meets a back end once in some seconds. It can't tell a back end that refuses a
// part of its requests from one that is full for a moment, and it connects to each unreachable back end by itself.
// Therefore nodes that meet refusals or unreachable back ends send counts of their attempts to two nodes of their group,
// the collectors. A collector adds the counts up, compares each back end with its siblings, the other back ends of its
// service, and tells the group its verdicts. Collectors of different regions exchange their sums, since the siblings of
// a back end are often in other regions.
//
//   - recorder.go: Recorder counts this node's attempts.
//   - sums.go: groupSums adds up the counts of a group's nodes, and bounds what one node contributes.
//   - judge.go: the rule by which a back end is at fault.
//   - collector.go: Collector is this node's work as a collector. telling.go: what it sends, and how often.
//   - verdicts.go: receivedVerdicts holds what this node's collectors have told it. It goes by what both of them tell.
//   - group.go: which nodes form a group, and which of them collect.
//
// One node's word weighs one node: a verdict must hold without the counts of the node that blames the back end most,
// and two collectors must have reached it.
//
// Nothing is sent while nothing is refused or unreachable. The package does no I/O, reads no clock and has no lock:
// callers supply the time and serialise their calls.
package sharedhealth

import (
	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/clock"
)

// Interval is the time, in milliseconds, between two messages of counts, sums or changed verdicts.
const Interval = 100 * clock.Ms(1)

// maximumAge is the age, in milliseconds, beyond which a received message is ignored.
const maximumAge = clock.Second

// Result is what the end of an attempt tells of its back end.
type Result int

// The results of an attempt.
const (
	// Accepted means that the back end took the request, whatever became of it.
	Accepted Result = iota
	// Refused means that the back end refused the request and did not report its load.
	Refused
	// Unreachable means that no connection to the back end could be established.
	Unreachable
)

// BackEnd is a back end with what the rule needs to know of it.
type BackEnd struct {
	// Key is the hash of the back end's incarnation.
	Key uint64
	// Slots is the number of requests that it processes concurrently, or 0 if that is not known.
	Slots int
}

// Directory knows the services of the back ends.
type Directory interface {
	// Siblings returns the key of the service of a back end, and all back ends of the service. It returns none if the
	// back end is not known.
	Siblings(backEnd uint64) (service uint64, members []BackEnd)
}

// ServiceKey returns the key of a service in messages.
func ServiceKey(service string) uint64 { return xxhash.Sum64String(service) }
