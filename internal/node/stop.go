package node

import (
	"context"
	"time"

	"stiletrail/internal/engine"
)

// Stop carries out a planned stop. The node announces to its peers that it is leaving, refuses new requests, waits
// until no request is in flight or the context ends, and closes the ports. Stop returns false if requests were still
// in flight.
func (n *Node) Stop(ctx context.Context) bool {
	n.log.Info("planned stop: the node refuses new requests and waits for those in flight")
	n.step(n.engine.Leave)
	drained := n.waitDrained(ctx)
	_ = n.http.Shutdown(ctx)
	n.Kill()
	n.log.WithField("drained", drained).Info("node stopped")
	return drained
}

// drainPollInterval is the pause between two checks whether a leaving node still has requests in flight.
const drainPollInterval = 10 * time.Millisecond

func (n *Node) waitDrained(ctx context.Context) bool {
	for {
		drained := false
		n.Inspect(func(e *engine.Engine) { drained = e.Drained(n.clock.Elapsed()) })
		if drained {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPollInterval):
		}
	}
}

// Kill closes all sockets at once, as a crash would, and waits for the node's goroutines to end.
func (n *Node) Kill() {
	n.stop()
	// A step that holds the lock may still start tasks. Steps after it start none, because the context has ended.
	n.Inspect(func(*engine.Engine) {})
	_ = n.http.Close()
	n.transport.Close()
	n.tasks.Wait()
	n.options.BackEnds.Close()
}
