package node

import (
	"context"
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/rollout"
)

const (
	// machineListInterval is the pause between two reads of the platform's machine list.
	machineListInterval = 2 * time.Second
	// watchRetryInterval is the pause before a watch of the store that ended is started again.
	watchRetryInterval = time.Second
)

// performStoreRequests starts the reads, writes and listings of the store that the engine requests. It also starts a
// watch of the store if this node is a relay and has none.
func (n *Node) performStoreRequests(output engine.Output) {
	for _, read := range output.StoreReads {
		n.tasks.Go(func() { n.readStore(read) })
	}
	for _, write := range output.StoreWrites {
		n.tasks.Go(func() { n.writeStore(write) })
	}
	for range output.StoreLists {
		n.tasks.Go(n.listStore)
	}
	if n.engine.IsRelay() && n.ctx.Err() == nil && n.watching.CompareAndSwap(false, true) {
		n.tasks.Go(n.watchStore)
	}
}

// outcomeOf returns the outcome of a request to the store that returned the error: only an error of code
// OUTCOME_UNKNOWN leaves open whether the request took effect.
func outcomeOf(err error) rollout.Outcome {
	switch failure.CodeOf(err) {
	case "":
		return rollout.Done
	case failure.OutcomeUnknown:
		return rollout.Unknown
	}
	return rollout.Refused
}

func (n *Node) readStore(read engine.StoreRead) {
	entry, _, err := n.options.Store.Get(n.ctx, platform.ServicePrefix+read.Service)
	n.step(func(now time.Duration) engine.Output {
		return n.engine.StoreReadDone(now, read.Operation, outcomeOf(err), entry)
	})
}

func (n *Node) writeStore(write engine.StoreWrite) {
	key := platform.ServicePrefix + write.Document.Service
	_, swapped, err := n.options.Store.CompareAndSwap(n.ctx, key, write.Base, write.Document.Encode())
	n.step(func(now time.Duration) engine.Output {
		return n.engine.StoreWriteDone(now, write.Operation, outcomeOf(err), swapped)
	})
}

func (n *Node) listStore() {
	entries, err := n.options.Store.List(n.ctx, platform.ServicePrefix)
	if err != nil && n.ctx.Err() == nil {
		n.log.WithField("failure", failure.CodeOf(err)).Warn("the store cannot be read")
	}
	n.step(func(now time.Duration) engine.Output { return n.engine.StoreListDone(now, entries, err == nil) })
}

// watchStore watches the store while this node is a relay, and passes each change to the engine. A watch may lose
// events; the engine finds lost changes by listing the whole store at intervals.
func (n *Node) watchStore() {
	defer n.watching.Store(false)
	for n.ctx.Err() == nil && n.isRelay() {
		ctx, cancel := context.WithCancel(n.ctx)
		_ = n.options.Store.Watch(ctx, platform.ServicePrefix, func(entry platform.Entry) {
			n.step(func(now time.Duration) engine.Output { return n.engine.StoreChanged(now, entry) })
			if !n.isRelay() {
				cancel()
			}
		})
		cancel()
		n.sleep(watchRetryInterval)
	}
}

func (n *Node) isRelay() bool {
	relay := false
	n.Inspect(func(e *engine.Engine) { relay = e.IsRelay() })
	return relay
}

// sleep waits for the given time, or until the node stops.
func (n *Node) sleep(length time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(length):
	}
}

// runMachineList reads the machine list every machineListInterval and passes it to the engine, until the node stops.
func (n *Node) runMachineList() {
	for n.ctx.Err() == nil {
		machines, err := n.options.Machines.Machines(n.ctx)
		if err == nil {
			n.step(func(now time.Duration) engine.Output {
				return n.engine.SetMachines(now, machines)
			})
		}
		n.sleep(machineListInterval)
	}
}
