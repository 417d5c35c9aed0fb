package node

import (
	"context"
	"time"

	"stiletrail/internal/engine"
)

// Stop is the planned stop: it tells peers, refuses new work, waits until nothing is under way or the context ends, and
// closes the ports. It returns false where work was still under way.
func (n *Node) Stop(ctx context.Context) bool {
	n.log.Info("node is leaving")
	n.step(n.engine.Leave)
	drained := n.waitDrained(ctx)
	_ = n.http.Shutdown(ctx)
	n.Kill()
	n.log.WithField("drained", drained).Info("node stopped")
	return drained
}

// drainPoll is the pause between two looks whether a leaving node has nothing under way any more.
const drainPoll = 10 * time.Millisecond

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
		case <-time.After(drainPoll):
		}
	}
}

// Kill closes everything at once, as a crash would.
func (n *Node) Kill() {
	n.stop()
	// After this no step starts a task any more.
	n.Inspect(func(*engine.Engine) {})
	_ = n.http.Close()
	n.transport.Close()
	n.tasks.Wait()
	n.options.BackEnds.Close()
}
