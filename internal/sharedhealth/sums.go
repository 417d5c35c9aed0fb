package sharedhealth

import (
	"maps"
	"math"
	"slices"

	"stiletrail/internal/clock"
)

const (
	// halfLife is the time, in milliseconds, in which the weight of attempts halves.
	halfLife = clock.Second
	// minimumNodeWeight is the weight of attempts up to which a node's counts are not bounded.
	minimumNodeWeight = 4
	// negligibleWeight is the weight of attempts below which the counts of a node are forgotten.
	negligibleWeight = 0.05
)

// counts are numbers of attempts at a back end, weighted by their age.
type counts struct {
	sent, refused, unreachable float64
	// busy is the time that accepted attempts took, in milliseconds.
	busy float64
}

func (c counts) plus(other counts) counts {
	return counts{c.sent + other.sent, c.refused + other.refused, c.unreachable + other.unreachable, c.busy + other.busy}
}

func (c counts) times(factor float64) counts {
	return counts{factor * c.sent, factor * c.refused, factor * c.unreachable, factor * c.busy}
}

// reached and accepted are the weights of the attempts that found a connection, and of those that were not refused.
func (c counts) reached() float64  { return max(c.sent-c.unreachable, 0) }
func (c counts) accepted() float64 { return max(c.reached()-c.refused, 0) }

// refusedShare returns the share of the attempts that found a connection, and were refused.
func (c counts) refusedShare() float64 { return min(c.refused/max(c.reached(), negligibleWeight), 1) }

// decay returns the factor by which weights shrink in a time.
func decay(elapsed clock.Ms) float64 { return math.Exp2(-float64(elapsed) / float64(halfLife)) }

// nodeCounts are the counts that one node has sent of a back end.
type nodeCounts struct {
	counts
	at clock.Ms
	// reachedAt and unreachableAt are when the node last told that it had reached the back end, or not. They are 0 until
	// it did.
	reachedAt, unreachableAt clock.Ms
}

// groupSums has the counts of the nodes of a group, by back end and by the node's address.
type groupSums map[uint64]map[string]nodeCounts

// add adds the counts that a node sent at a time that may be past.
func (g groupSums) add(now, sentAt clock.Ms, backEnd uint64, node string, c counts) {
	nodes := g[backEnd]
	if nodes == nil {
		nodes = map[string]nodeCounts{}
		g[backEnd] = nodes
	}
	before := nodes[node]
	after := nodeCounts{before.times(decay(now - before.at)).plus(c.times(decay(now - sentAt))), now, before.reachedAt, before.unreachableAt}
	switch {
	case c.unreachable > 0:
		after.unreachableAt = sentAt
	case c.sent > 0:
		after.reachedAt = sentAt
	}
	nodes[node] = after
}

// reachability is what the nodes of a group have told lately of their connections to a back end. Each node counts once, by
// its last word.
type reachability struct {
	reached, unreachable int
}

func (g groupSums) reachability(now clock.Ms, backEnd uint64) (told reachability) {
	for _, c := range g[backEnd] {
		switch {
		case c.unreachableAt > c.reachedAt && now-c.unreachableAt <= unreachableWordFor:
			told.unreachable++
		case c.reachedAt > c.unreachableAt && now-c.reachedAt <= reachedWordFor:
			told.reached++
		}
	}
	return told
}

// forget drops counts that have become negligible.
func (g groupSums) forget(now clock.Ms) {
	for backEnd, nodes := range g {
		for node, c := range nodes {
			if c.sent*decay(now-c.at) < negligibleWeight {
				delete(nodes, node)
			}
		}
		if len(nodes) == 0 {
			delete(g, backEnd)
		}
	}
}

// sum adds up the counts of a back end. No node contributes more than the median node, or minimumNodeWeight where that
// is more, and the node that blames the back end most contributes nothing: what is left holds without any one node's word.
// The busy times speak for the back end, and count in full but for the node with the longest.
func (g groupSums) sum(now clock.Ms, backEnd uint64) (total counts) {
	var each []counts
	for _, c := range g[backEnd] {
		each = append(each, c.times(decay(now-c.at)))
	}
	slices.SortFunc(each, compareSent)
	if len(each) == 0 {
		return counts{}
	}
	bound := max(each[len(each)/2].sent, minimumNodeWeight)
	worst, busy, longest := counts{}, 0.0, 0.0
	for _, c := range each {
		busy += c.busy
		longest = max(longest, c.busy)
		bounded := c.times(min(1, bound/c.sent))
		total = total.plus(bounded)
		if bounded.blame() > worst.blame() {
			worst = bounded
		}
	}
	total = total.plus(worst.times(-1))
	total.busy = busy - longest
	return total
}

// blamingNodes returns the number of nodes that have counted refusals or failed connections of a back end.
func (g groupSums) blamingNodes(backEnd uint64) (count int) {
	for _, c := range g[backEnd] {
		if c.blame() > 0 {
			count++
		}
	}
	return count
}

// blame is the weight of the attempts that speak against a back end.
func (c counts) blame() float64 { return c.refused + c.unreachable }

// sortedKeys returns the keys of a map in their order, so that the same events lead to the same messages.
func sortedKeys[Value any](m map[uint64]Value) []uint64 { return slices.Sorted(maps.Keys(m)) }

func compareSent(a, b counts) int {
	switch {
	case a.sent < b.sent:
		return -1
	case a.sent > b.sent:
		return 1
	}
	return 0
}
