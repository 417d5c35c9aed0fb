package simulation

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/engine"
)

// Time-outs, delays and intervals of the simulated environment of a node.
const (
	dialTimeout       = time.Second
	storeTimeout      = 2 * time.Second
	storeLatency      = 2 * time.Millisecond
	machineListPeriod = 2 * time.Second
	handoverDelay     = 50 * time.Microsecond
)

// simNode is a simulated node: an engine and the state that its process would keep around it.
type simNode struct {
	address     string
	zone        Zone
	generation  uint64
	incarnation uint64
	engine      *engine.Engine
	startedAt   time.Duration
	dead        bool
	leaving     bool
	frozen      bool
	// pendingWork holds the calls that arrived while the process was frozen.
	pendingWork     []func()
	wakeAt          time.Duration
	attempts        map[uint64]*simAttempt
	idleConnections map[string]int
	// machinesAt is the time of the node's last read of the machine list. drainRefusedAt holds, for each back end, the time when
	// it last refused a request of this node because it was draining.
	machinesAt     time.Duration
	drainRefusedAt map[string]time.Duration
	// describedAt holds, for each back end, the time when its description was last received by this node.
	describedAt map[string]time.Duration
	// highestVersions holds the highest version in force on this node for each service. The checker keeps it.
	highestVersions map[string]uint64
}

// startNode starts a node in a zone, at an address that was not used before.
func (w *World) startNode(zone Zone) *simNode {
	w.nextNode++
	return w.startNodeAt(zone, fmt.Sprintf("10.0.%d.%d:7200", w.nextNode/250, w.nextNode%250+1))
}

func (w *World) startNodeAt(zone Zone, address string) *simNode {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], w.random.Uint64())
	n := &simNode{
		address: address, zone: zone, startedAt: w.now, generation: w.random.Uint64(),
		incarnation: uint64(w.now.Milliseconds()) + 1,
		attempts:    map[uint64]*simAttempt{}, idleConnections: map[string]int{}, highestVersions: map[string]uint64{}, drainRefusedAt: map[string]time.Duration{}, describedAt: map[string]time.Duration{},
	}
	var seeds []string
	for _, other := range w.live {
		if len(seeds) < 3 || w.random.IntN(4) == 0 {
			seeds = append(seeds, other)
		}
	}
	identity := engine.Identity{
		Address: address, Zone: zone.Name, Region: zone.Region, Generation: n.generation, TicketKey: key[:],
		Incarnation: n.incarnation, Seeds: seeds,
	}
	n.engine = engine.New(w.now, identity, w.options.Engine, rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64())))
	w.nodes[address] = n
	w.live = append(w.live, address)
	w.record("start", address, zone.Name)
	w.wakeNode(n, 0)
	w.readMachines(n)
	return n
}

// runInProcess runs a function in the process of a node: immediately, after a freeze has ended, or never if the node is dead.
func (w *World) runInProcess(n *simNode, run func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.pendingWork = append(n.pendingWork, run)
	default:
		run()
	}
}

// step calls a node's engine once and carries out its output.
func (w *World) step(n *simNode, call func() engine.Output) {
	w.runInProcess(n, func() {
		w.carryOut(n, call())
		w.Checker.nodeStepped(n)
		w.scheduleWake(n)
	})
}

func (w *World) scheduleWake(n *simNode) {
	wake := n.engine.NextWake()
	if n.wakeAt > w.now && wake >= n.wakeAt {
		return
	}
	w.wakeNode(n, max(wake-w.now, 10*time.Microsecond))
}

func (w *World) wakeNode(n *simNode, delay time.Duration) {
	n.wakeAt = w.now + delay
	due := n.wakeAt
	w.schedule(delay, func() {
		if n.wakeAt == due {
			n.wakeAt = 0
			w.step(n, func() engine.Output { return n.engine.Tick(w.now) })
		}
	})
}

func (w *World) carryOut(n *simNode, output engine.Output) {
	for _, envelope := range output.Sends {
		w.sendPeer(n, envelope.To, envelope.Message)
	}
	for _, attempt := range output.Attempts {
		w.beginAttempt(n, attempt)
	}
	for _, number := range output.Cancels {
		w.cancelAttempt(n, number)
	}
	for _, describe := range output.Describes {
		w.describe(n, describe.Service, describe.BackEnd)
	}
	for _, read := range output.StoreReads {
		w.readStore(n, read)
	}
	for _, write := range output.StoreWrites {
		w.writeStore(n, write)
	}
	for range output.StoreLists {
		w.listStore(n)
	}
	w.answerCallers(n, output)
}

// killNode ends a node's process without a drain. Peers that can reach its zone see their connections break.
func (w *World) killNode(n *simNode) {
	w.record("kill", n.address)
	n.dead = true
	w.live = slices.DeleteFunc(w.live, func(address string) bool { return address == n.address })
	for _, number := range sortedNumbers(n.attempts) {
		a := n.attempts[number]
		w.connectionClosed(a)
	}
	for _, address := range w.live {
		peer := w.nodes[address]
		if w.reachable(peer.zone.Name, n.zone.Name) {
			w.schedule(w.jitter(w.distance(peer.zone.Name, n.zone.Name)), func() {
				w.step(peer, func() engine.Output { return peer.engine.PeerDisconnected(w.now, n.address) })
			})
		}
	}
	w.Checker.nodeKilled(n)
	w.publishMachines()
}

// freezeNode suspends a node's process for the given duration. Calls that arrive meanwhile run afterwards.
func (w *World) freezeNode(n *simNode, length time.Duration) {
	if n.frozen || n.dead {
		return
	}
	w.record("freeze", n.address, length)
	n.frozen = true
	w.schedule(length, func() {
		if n.dead {
			return
		}
		w.record("thaw", n.address)
		n.frozen = false
		held := n.pendingWork
		n.pendingWork = nil
		w.step(n, func() engine.Output { return n.engine.Tick(w.now) })
		for _, run := range held {
			w.runInProcess(n, run)
		}
	})
}

// stopNode starts the planned stop of a node. Its process ends when the node is drained, at the latest after a minute.
func (w *World) stopNode(n *simNode) {
	if n.leaving || n.dead {
		return
	}
	w.record("leave", n.address)
	n.leaving = true
	w.publishMachines()
	w.step(n, func() engine.Output { return n.engine.Leave(w.now) })
	w.awaitDrained(n, w.now+time.Minute)
}

func (w *World) awaitDrained(n *simNode, limit time.Duration) {
	const poll = 10 * time.Millisecond
	w.schedule(poll, func() {
		switch {
		case n.dead:
		case !n.frozen && (n.engine.Drained(w.now) || w.now > limit):
			w.Checker.nodeStopped(n, w.now > limit)
			w.killNode(n)
		default:
			w.awaitDrained(n, limit)
		}
	})
}
