package node

import (
	"context"
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/rollout"
)

// Periods of the platform tasks.
const (
	machineListPeriod = 2 * time.Second
	watchRetry        = time.Second
)

// performStore carries out what the engine wants of the store.
func (n *Node) performStore(output engine.Output) {
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

// outcomeOf is what an error of the store proves of a request.
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

// watchStore watches while this node is a relay. A watch may lose events; the reading of the whole store makes up for it.
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
		n.sleep(watchRetry)
	}
}

func (n *Node) isRelay() bool {
	relay := false
	n.Inspect(func(e *engine.Engine) { relay = e.IsRelay() })
	return relay
}

// sleep waits, or until the node stops.
func (n *Node) sleep(length time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(length):
	}
}

// runMachineList reads the machine list now and then.
func (n *Node) runMachineList() {
	for n.ctx.Err() == nil {
		machines, err := n.options.Machines.Machines(n.ctx)
		if err == nil {
			n.step(func(now time.Duration) engine.Output {
				return n.engine.SetMachines(now, machines)
			})
		}
		n.sleep(machineListPeriod)
	}
}
