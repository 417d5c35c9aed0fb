package gateway_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"stiletrail/internal/gateway"
)

// injectFault starts a random fault that passes after some seconds.
func (s *simulation) injectFault() {
	b := s.randomBackEnd()
	length := time.Duration(500+s.random.IntN(5000)) * time.Millisecond
	nodeNumber := s.random.IntN(simulatedNodes)
	storeOfNode := s.cluster.stores[nodeNumber]
	during := func(begin, finish func()) {
		s.withLock(begin)
		time.AfterFunc(length, func() { s.withLock(finish) })
	}
	kind := s.random.IntN(11)
	if s.hasCrashes && (kind == 7 || kind == 8 || kind == 10) {
		return
	}
	if s.restores != nil && (kind == 7 || kind == 8 || kind == 10) {
		return
	}
	if s.hasBursts && (kind == 8 || kind == 10) {
		// Nodes do not restart between bursts. A node that restarts forgets what it has spent of the retry budget,
		// and the fleet may then exceed its budget (docs/PROOF.md, Not proved).
		kind += 3
	}
	switch kind {
	case 0:
		slowness := 10 + 30*s.random.IntN(2)
		during(func() { b.slowness = slowness }, func() { b.slowness = 1 })
	case 1:
		s.withLock(func() { b.pausedUntil = time.Now().Add(300 * time.Millisecond) })
	case 2:
		during(func() { b.shedding = true }, func() { b.shedding = false })
	case 3:
		during(func() { b.unreachable = true }, func() { b.unreachable = false })
	case 4:
		during(func() { b.losingAnswers = true }, func() { b.losingAnswers = false })
	case 5:
		s.putNextVersion()
	case 6:
		during(func() { s.setStoreAccess(storeOfNode, false) }, func() { s.setStoreAccess(storeOfNode, true) })
	case 7:
		s.withLock(func() { s.outages = append(s.outages, span{time.Now(), time.Now().Add(length + settleTime)}) })
		s.cluster.store.update(func(store *fakeStore) { store.err = errUnavailable })
		time.AfterFunc(length, func() { s.cluster.store.update(func(store *fakeStore) { store.err = nil }) })
	case 8:
		s.cluster.contexts[nodeNumber]()
		s.cluster.gateways[nodeNumber].Leave(time.Hour)
		s.startNode(nodeNumber)
	case 9:
		s.replaceBackEnd(b)
	case 10:
		s.restartAllNodes(length)
	case 11:
		during(func() { s.bursting = true }, func() { s.bursting = false })
	case 13:
		slow := s.randomReplicaOfEachShard()
		during(func() { setSlowness(slow, 8) }, func() { setSlowness(slow, 1) })
	}
}

// setStoreAccess connects a node to the store or disconnects it. While all nodes are disconnected none of them can learn of a
// change, which is an outage of the store as far as they can tell. The caller holds the lock.
func (s *simulation) setStoreAccess(store *nodeStore, connected bool) {
	before := s.isStoreReachable()
	store.disconnected.Store(!connected)
	switch after := s.isStoreReachable(); {
	case before && !after:
		s.unreachableSince = time.Now()
	case !before && after:
		s.outages = append(s.outages, span{s.unreachableSince, time.Now().Add(settleTime)})
	}
}

// isStoreReachable reports whether any node is connected to the store.
func (s *simulation) isStoreReachable() bool {
	return slices.ContainsFunc(s.cluster.stores, func(store *nodeStore) bool { return !store.disconnected.Load() })
}

// reconnectTime is how long the nodes take to notice that the connections between them have stalled, and to open
// others.
const reconnectTime = 2 * time.Second

// stallConnections now and then makes connections stall for good: those of a node's calls to the store, or those of
// the calls of all nodes and between the nodes. It draws from a random source of its own, so that seeds that failed
// before still give the same run.
func (s *simulation) stallConnections() {
	const ofNode, ofAll = 10, 1
	switch draw := s.stallRandom.IntN(2000); {
	case draw < ofNode:
		s.cluster.stores[s.stallRandom.IntN(simulatedNodes)].stalls.Add(1)
	case draw < ofNode+ofAll:
		s.stalledAt = append(s.stalledAt, time.Now())
		for _, store := range s.cluster.stores {
			store.stalls.Add(1)
		}
		s.cluster.network.dropAllFor(reconnectTime)
	}
}

// restartAllNodes stops all nodes and starts them again. For some time the back ends still count the connections of
// the stopped processes.
func (s *simulation) restartAllNodes(length time.Duration) {
	setAtConnectionLimit := func(atLimit bool) {
		s.withLock(func() {
			for _, b := range s.backEnds {
				b.atConnectionLimit = atLimit
			}
		})
	}
	setAtConnectionLimit(true)
	time.AfterFunc(length, func() { setAtConnectionLimit(false) })
	for number := range simulatedNodes {
		s.cluster.contexts[number]()
		s.cluster.gateways[number].Leave(time.Hour)
		s.startNode(number)
	}
}

// randomReplicaOfEachShard returns one back end of each shard.
func (s *simulation) randomReplicaOfEachShard() []*modelBackEnd {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	byService := map[string]*modelBackEnd{}
	for _, id := range slices.Sorted(maps.Keys(s.backEnds)) {
		b := s.backEnds[id]
		if byService[b.entry.Service] == nil || s.random.IntN(2) == 0 {
			byService[b.entry.Service] = b
		}
	}
	return slices.Collect(maps.Values(byService))
}

func setSlowness(backEnds []*modelBackEnd, slowness int) {
	for _, b := range backEnds {
		b.slowness = slowness
	}
}

func (s *simulation) withLock(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *simulation) randomBackEnd() *modelBackEnd {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for {
		b := s.backEnds[fmt.Sprint("s", s.random.IntN(shards), "-", 1+s.random.IntN(s.backEndCount))]
		if b != nil {
			return b
		}
	}
}

// replaceBackEnd starts a new back end and deletes the entry of the old one.
func (s *simulation) replaceBackEnd(b *modelBackEnd) {
	if !b.removedAt.IsZero() {
		return
	}
	s.addBackEnd(b.entry.Service, s.random.IntN(simulatedReplicas))
	s.withLock(func() { b.removedAt = time.Now() })
	s.cluster.store.put(gateway.Item{Key: "back ends/" + b.entry.ID, Deleted: true})
}
