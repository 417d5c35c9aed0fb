package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// record holds what is known about all requests with one fingerprint.
type record struct {
	fingerprint Fingerprint
	// aggregate is set if the fingerprint belongs to a resource or a caller, which many different requests share. Such
	// a record is never quarantined.
	aggregate bool
	// crashes holds the crashes at services that have not answered since. crashedBackEnds lists the back ends of all
	// crashes, including those that were dropped from crashes.
	crashes         []Crash
	crashedBackEnds []string
	// answered is set if a back end has answered the request; answeredAt is the time of the last answer.
	answered   bool
	answeredAt clock.Ms
	// quarantinedAt and quarantinedUntil are the beginning and the end of the quarantine, imposed by this node or
	// another one.
	quarantinedAt    clock.Ms
	quarantinedUntil clock.Ms
	// stored is set while the store lists the request as quarantined; storedAt is when this node first read that.
	stored   bool
	storedAt clock.Ms
	// lifted is set if a back end has answered the request since it was last quarantined.
	lifted bool
	// shardsExcludedUntil holds, by service, the time until which the request is not sent to that shard.
	shardsExcludedUntil map[string]clock.Ms
	// crashedVersions lists the software versions that the request crashed; safeVersions lists those that have answered
	// it since.
	crashedVersions []string
	safeVersions    []string
	// callers lists the fingerprints of the request together with its caller, for callers whose requests crashed back
	// ends in successive rounds. A caller whose request was present at a single crash may send the request again and be
	// answered.
	callers []Fingerprint
	// updatedAt is the time of the last update.
	updatedAt clock.Ms
	// shared is set if other nodes know of the record. They must be told of an answer too.
	shared bool
}

// forgottenBefore reports whether record a is deleted before record b: records that are not quarantined go first, then
// those updated least recently.
func forgottenBefore(now clock.Ms, a, b *record) bool {
	if a.quarantined(now) != b.quarantined(now) {
		return !a.quarantined(now)
	}
	return a.updatedAt < b.updatedAt
}

// addCallers adds callers that are not yet listed, up to maximumCallers.
func (r *record) addCallers(callers ...Fingerprint) {
	for _, caller := range callers {
		if len(r.callers) < maximumCallers && !slices.Contains(r.callers, caller) {
			r.callers = append(r.callers, caller)
		}
	}
}

// suspect reports whether enough back ends have crashed since the last answer for the request to be suspect.
func (r *record) suspect() bool {
	if r.aggregate {
		return r.rounds() >= aggregateRounds
	}
	return r.rounds() > 0
}

func (r *record) quarantined(now clock.Ms) bool { return r.stored || now < r.quarantinedUntil }

// rounds returns the largest number of successive crashes since the request was last answered: each execution began
// after the crash before it. Crashes of concurrent executions count once, since one cause may have crashed all those
// back ends.
func (r *record) rounds() int {
	return longestSequence(r.crashes, func(crash Crash) bool { return !r.answered || crash.CrashedAt > r.answeredAt })
}

// shardRounds returns the number of rounds at one service, which has not answered since.
func (r *record) shardRounds(service string) int {
	return longestSequence(r.crashes, func(crash Crash) bool { return crash.Service == service })
}

// longestSequence returns the length of the longest sequence of crashes in which each execution began after the crash
// before it. Only crashes that counts accepts are considered. Choosing the earliest crash of those that remain always
// leads to a longest sequence.
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

// appendNew appends a value that is not empty and not yet in the list, if the list has fewer than maximum values.
func appendNew(values []string, value string, maximum int) []string {
	if value == "" || slices.Contains(values, value) || len(values) >= maximum {
		return values
	}
	return append(values, value)
}
