package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// record is what is known of all that bears a mark.
type record struct {
	fingerprint Fingerprint
	// aggregate: the mark is of a place or a caller, of many different requests, and never put under quarantine.
	aggregate bool
	// crashes that ended their back ends, of services that have not answered since; backEnds are those of all crashes.
	crashes         []Crash
	crashedBackEnds []string
	// answeredAt is when a back end last answered the request, where answered.
	answered   bool
	answeredAt clock.Ms
	// quarantinedAt and until are the beginning and the end of the quarantine, by this node's own account or another node's.
	quarantinedAt    clock.Ms
	quarantinedUntil clock.Ms
	// stored: the store says that it is under quarantine, and has done so since storedAt.
	stored   bool
	storedAt clock.Ms
	// lifted: a back end answered it since it was last under quarantine.
	lifted bool
	// shardsExcludedUntil are the ends of the quarantine at single shards.
	shardsExcludedUntil map[string]clock.Ms
	// crashedVersions of software that the request ended, sound ones that have answered it since.
	crashedVersions []string
	safeVersions    []string
	// callers are who has asked it round after round: their marks of the question as they ask it. Who was only there once may ask
	// it and be answered.
	callers []Fingerprint
	// updatedAt is when something was last learned of it.
	updatedAt clock.Ms
	// shared: other nodes know of it, and are told of an answer too.
	shared bool
}

// forgottenBefore orders records by what is forgotten first.
func forgottenBefore(now clock.Ms, a, b *record) bool {
	if a.quarantined(now) != b.quarantined(now) {
		return !a.quarantined(now)
	}
	return a.updatedAt < b.updatedAt
}

func (r *record) addCallers(callers ...Fingerprint) {
	for _, caller := range callers {
		if len(r.callers) < maximumCallers && !slices.Contains(r.callers, caller) {
			r.callers = append(r.callers, caller)
		}
	}
}

// suspect: back ends ended under it, and none has answered it since.
func (r *record) suspect() bool {
	if r.aggregate {
		return r.rounds() >= aggregateRounds
	}
	return r.rounds() > 0
}

func (r *record) quarantined(now clock.Ms) bool { return r.stored || now < r.quarantinedUntil }

// rounds is the greatest number of runs that followed each other since the request was last answered: each began after the one
// before had ended. Runs at the same time count once, since whatever ended one back end may have ended the others.
func (r *record) rounds() int {
	return longestSequence(r.crashes, func(crash Crash) bool { return !r.answered || crash.CrashedAt > r.answeredAt })
}

// shardRounds are the rounds at one service, which has not answered since.
func (r *record) shardRounds(service string) int {
	return longestSequence(r.crashes, func(crash Crash) bool { return crash.Service == service })
}

// longestSequence is the length of the longest sequence of runs that follow each other, of those that count: of the runs left, the one that
// ended first is always part of one.
func longestSequence(crashes []Crash, counts func(Crash) bool) int {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return int(a.CrashedAt - b.CrashedAt) })
	length := 0
	var last clock.Ms
	for _, crash := range sorted {
		if counts(crash) && (length == 0 || crash.StartedAt >= last) {
			length++
			last = crash.CrashedAt
		}
	}
	return length
}

// appendNew appends a value that is not there yet, as long as there are fewer than most.
func appendNew(values []string, value string, maximum int) []string {
	if value == "" || slices.Contains(values, value) || len(values) >= maximum {
		return values
	}
	return append(values, value)
}
