package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// fleet is a number of holders that are joined by a queue of messages with delays, losses and cuts. All times are those
// of the test; each node has a clock of its own, which starts with its process.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     clock.Ms
	nodes   []*node
	events  eventQueue
	order   int
	limits  map[LimitID]Limit
	loss    float64
	jitter  int
	cut     func(a, b *node) bool
	tenants map[LimitID]*tenantRecord
	// listed is the process that the store lists at each address, and since when.
	listed map[string]listedProcess
}

// listingDelay is how long it takes until the store lists a process that has found the others, and settleAfter how long the
// process must then run until its successor is no rapid restart.
const (
	listingDelay = 200 * clock.Ms(1)
	settleAfter  = 6 * clock.Second
)

// listedProcess is a process that the store lists.
type listedProcess struct {
	process uint32
	since   clock.Ms
}

// tenantRecord is what a test has seen of one tenant.
type tenantRecord struct {
	sent []clock.Ms
	// refused counts the refusals, refusedBelow those of them at which less than what is allowed had been sent in the
	// window.
	refused      int
	refusedBelow int
	unanswered   int
}

type node struct {
	index   int
	address string
	zone    string
	region  string
	holder  *Holder
	started clock.Ms
	up      bool
	// process counts the starts of the node.
	process uint32
	sent    int
	bytes   int
}

type event struct {
	at    clock.Ms
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newFleet returns a fleet whose nodes have been up for long enough to lend all of their pools.
func newFleet(t *testing.T, seed uint64, count, regions int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), limits: map[LimitID]Limit{}, listed: map[string]listedProcess{}, tenants: map[LimitID]*tenantRecord{}, jitter: 2,
		cut: func(a, b *node) bool { return false },
	}
	for i := range count {
		region := fmt.Sprintf("r%d", i%regions)
		n := &node{index: i, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), region: region, zone: fmt.Sprintf("%s-%d", region, i/regions%2)}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.start(n, 0)
	}
	f.run(20 * clock.Second)
	return f
}

func (f *fleet) at(at clock.Ms, run func()) {
	f.order++
	heap.Push(&f.events, event{at: at, order: f.order, run: run})
}

// run lets the events happen until a moment.
func (f *fleet) run(until clock.Ms) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = until
}

// start starts the process of a node, which finds the others after a while.
func (f *fleet) start(n *node, joinsAfter clock.Ms) {
	n.process++
	n.up, n.started = true, f.now-clock.Ms(f.random.IntN(3))
	process := n.process
	n.holder = New(n.clock(f.now), Self{Address: n.address, Process: process*1000 + uint32(n.index)}, func(key LimitID) (Limit, bool) {
		limit, known := f.limits[key]
		return limit, known
	})
	f.at(f.now+joinsAfter, func() {
		if n.up && n.process == process {
			f.tellMembers(n)
			n.holder.SetStanding(n.clock(f.now), Standing{})
		}
	})
	f.at(f.now+joinsAfter+listingDelay, func() {
		if n.up && n.process == process {
			f.list(n)
		}
	})
	var tick func()
	tick = func() {
		if n.up && n.process == process {
			n.holder.Tick(n.clock(f.now))
			f.flush(n)
			f.at(f.now+reportInterval, tick)
		}
	}
	f.at(f.now+clock.Ms(f.random.IntN(int(reportInterval))), tick)
}

// list makes the store list the process of a node.
func (f *fleet) list(n *node) {
	before, known := f.listed[n.address]
	f.listed[n.address] = listedProcess{n.process, f.now}
	rapid := known && f.now-before.since < settleAfter
	n.holder.SetStanding(n.clock(f.now), Standing{Listed: true, Running: true, RapidRestart: rapid})
}

func (n *node) clock(now clock.Ms) clock.Ms { return now - n.started }

func (f *fleet) stop(n *node) { n.up = false }

// restart stops a node for a while. Others do not notice, as membership does not within so short a time.
func (f *fleet) restart(n *node, down, joinsAfter clock.Ms) {
	f.stop(n)
	f.at(f.now+down, func() { f.start(n, joinsAfter) })
}

// tellMembers tells a node the members: those that it cannot reach are away.
func (f *fleet) tellMembers(n *node) {
	members := make([]Member, 0, len(f.nodes))
	for _, other := range f.nodes {
		members = append(members, Member{
			Address: other.address, Zone: other.zone, Region: other.region, Usable: other == n || other.up && !f.cut(n, other),
		})
	}
	n.holder.SetMembers(n.clock(f.now), members, true)
}

// noticeAll tells all nodes the members after a delay that differs between them.
func (f *fleet) noticeAll(after clock.Ms) {
	for _, n := range f.nodes {
		f.at(f.now+after+clock.Ms(f.random.IntN(2000)), func() {
			if n.up {
				f.tellMembers(n)
			}
		})
	}
}

func (f *fleet) delay(a, b *node) clock.Ms {
	base := 0
	switch {
	case a.region != b.region:
		base = 12
	case a.zone != b.zone:
		base = 1
	}
	return clock.Ms(base + f.random.IntN(1+f.jitter))
}

// flush sends the messages of a node.
func (f *fleet) flush(from *node) {
	for _, m := range from.holder.Messages() {
		to := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.address == m.To })]
		from.sent++
		from.bytes += len(message.Encode(m.Message))
		if f.random.Float64() < f.loss || f.cut(from, to) {
			continue
		}
		process := to.process
		f.at(f.now+f.delay(from, to), func() {
			if to.up && to.process == process && !f.cut(from, to) {
				to.holder.Receive(to.clock(f.now), from.address, m.Message)
				f.flush(to)
			}
		})
	}
}

// request lets a caller send a request of a tenant to a node, which waits for a token for at most patience.
func (f *fleet) request(n *node, key LimitID, patience clock.Ms) {
	sentAt, process := f.now, n.process
	record := f.record(key)
	var try func()
	try = func() {
		if !n.up || n.process != process {
			return
		}
		verdict := n.holder.Take(n.clock(f.now), key, f.limits[key], 1)
		f.flush(n)
		switch v := verdict.(type) {
		case Granted:
			record.sent = append(record.sent, sentAt)
		case Exceeded:
			record.refuse(sentAt, f.limits[key])
		case Pending:
			if f.now-sentAt >= patience {
				record.unanswered++
				record.refuse(sentAt, f.limits[key])
				return
			}
			f.at(min(max(f.now+1, v.Until+n.started), f.now+3), try)
		}
	}
	if n.up {
		try()
	}
}

func (f *fleet) record(key LimitID) *tenantRecord {
	if f.tenants[key] == nil {
		f.tenants[key] = &tenantRecord{}
	}
	return f.tenants[key]
}

func (r *tenantRecord) refuse(at clock.Ms, limit Limit) {
	r.refused++
	inWindow := 0
	for i := len(r.sent) - 1; i >= 0 && r.sent[i] > at-limit.Window-100; i-- {
		if r.sent[i] > at-limit.Window {
			inWindow++
		}
	}
	if float64(inWindow) < limit.Allowed {
		r.refusedBelow++
	}
}

// load sends requests of a tenant at a mean rate to some nodes until a moment.
func (f *fleet) load(key LimitID, perSecond float64, nodes []*node, until, patience clock.Ms) {
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		// The first nodes of the list have more of the callers.
		n := nodes[int(float64(len(nodes))*f.random.Float64()*f.random.Float64())]
		f.request(n, key, patience)
		f.at(f.now+clock.Ms(f.random.ExpFloat64()*1000/perSecond), next)
	}
	f.at(f.now, next)
}

// checkBound fails the test if a window from a moment on has more than the bound of a tenant.
func (f *fleet) checkBound(key LimitID, limit Limit, from clock.Ms) {
	f.t.Helper()
	if most := f.record(key).most(limit.Window, from); float64(most) > limit.Bound {
		f.t.Errorf("%d requests in a window, the bound is %.1f", most, limit.Bound)
	}
}

// most returns the largest number of requests in any window that begins at a moment or later.
func (r *tenantRecord) most(window, from clock.Ms) int {
	slices.Sort(r.sent)
	most, first := 0, 0
	for last, at := range r.sent {
		for r.sent[first] < from && first < last || at-r.sent[first] > window {
			first++
		}
		if r.sent[first] >= from {
			most = max(most, last-first+1)
		}
	}
	return most
}

// belowShare returns the part of what is within the limit that was refused.
func (r *tenantRecord) belowShare() float64 {
	return float64(r.refusedBelow) / float64(max(1, len(r.sent)+r.refusedBelow))
}

// limitFor returns the limit of a tenant with a rate and a burst, with an overage of 0.1 and a slack of 20.
func limitFor(rate, burst float64) Limit {
	allowed := rate*5 + burst
	return Limit{Window: 5 * clock.Second, Allowed: allowed, Bound: allowed*1.1 + 20}
}
