package quarantine

import (
	"slices"

	"stiletrail/internal/clock"
)

// record is what is known of all that bears a mark.
type record struct {
	mark Fingerprint
	// wide: the mark is of a place or a caller, of many different requests, and never put under quarantine.
	wide bool
	// runs that ended their back ends, of services that have not answered since; backEnds are those of all runs.
	runs     []Crash
	backEnds []string
	// answeredAt is when a back end last answered the request, where answered.
	answered   bool
	answeredAt clock.Ms
	// quarantinedAt and until are the beginning and the end of the quarantine, by this node's own account or another node's.
	quarantinedAt clock.Ms
	until         clock.Ms
	// stored: the store says that it is under quarantine, and has done so since storedAt.
	stored   bool
	storedAt clock.Ms
	// lifted: a back end answered it since it was last under quarantine.
	lifted bool
	// shardsUntil are the ends of the quarantine at single shards.
	shardsUntil map[string]clock.Ms
	// versions of software that the request ended, sound ones that have answered it since.
	versions []string
	sound    []string
	// askers are who has asked it round after round: their marks of the question as they ask it. Who was only there once may ask
	// it and be answered.
	askers []Fingerprint
	// touched is when something was last learned of it.
	touched clock.Ms
	// shared: other nodes know of it, and are told of an answer too.
	shared bool
}

// less orders records by what is forgotten first.
func less(now clock.Ms, a, b *record) bool {
	if a.quarantined(now) != b.quarantined(now) {
		return !a.quarantined(now)
	}
	return a.touched < b.touched
}

func (r *record) addAskers(askers ...Fingerprint) {
	for _, asker := range askers {
		if len(r.askers) < mostAskers && !slices.Contains(r.askers, asker) {
			r.askers = append(r.askers, asker)
		}
	}
}

// suspected: back ends ended under it, and none has answered it since.
func (r *record) suspected() bool {
	if r.wide {
		return r.rounds() >= wideRounds
	}
	return r.rounds() > 0
}

func (r *record) quarantined(now clock.Ms) bool { return r.stored || now < r.until }

// rounds is the greatest number of runs that followed each other since the request was last answered: each began after the one
// before had ended. Runs at the same time count once, since whatever ended one back end may have ended the others.
func (r *record) rounds() int {
	return chain(r.runs, func(run Crash) bool { return !r.answered || run.CrashedAt > r.answeredAt })
}

// shardRounds are the rounds at one service, which has not answered since.
func (r *record) shardRounds(service string) int {
	return chain(r.runs, func(run Crash) bool { return run.Service == service })
}

// chain is the length of the longest sequence of runs that follow each other, of those that count: of the runs left, the one that
// ended first is always part of one.
func chain(runs []Crash, counts func(Crash) bool) int {
	sorted := slices.SortedFunc(slices.Values(runs), func(a, b Crash) int { return int(a.CrashedAt - b.CrashedAt) })
	length := 0
	var last clock.Ms
	for _, run := range sorted {
		if counts(run) && (length == 0 || run.StartedAt >= last) {
			length++
			last = run.CrashedAt
		}
	}
	return length
}

// appendNew appends a value that is not there yet, as long as there are fewer than most.
func appendNew(values []string, value string, most int) []string {
	if value == "" || slices.Contains(values, value) || len(values) >= most {
		return values
	}
	return append(values, value)
}
