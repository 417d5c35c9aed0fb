package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"stiletrail/internal/clock"
)

// defaultProvenWithin is how long after an answer a connection counts as sound for a request that cannot be sent again.
// A new connection costs it only a way there and back; without an answer it is lost.
const defaultRecentAnswerWithin = 250 * time.Millisecond

// Endpoint is a process at an address. Another process may take the address over: connections to the one before are not used
// for it.
type Endpoint struct {
	Address string
	Process string
}

// Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	// clock counts how long connections are idle, also while the machine is suspended: back ends close them meanwhile.
	clock clock.Clock
	mutex sync.Mutex
	idle  map[Endpoint][]*connection
	// OpenedTotal counts connections opened since the start; Open is how many there are.
	OpenedTotal atomic.Int64
	OpenCount   atomic.Int64
	// OnConnected, where set, is told how long each opening of a connection took.
	OnConnected func(time.Duration)
	// proofSlack is waited beyond a way there and back where a new connection must prove itself.
	verificationMargin time.Duration
	// provenWithin is how long after an answer a connection counts as sound for a request that cannot be sent again.
	recentAnswerWithin time.Duration
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{clock: clock.Start(), idle: map[Endpoint][]*connection{}, verificationMargin: defaultVerificationMargin, recentAnswerWithin: defaultRecentAnswerWithin}
}

// connect takes an idle connection that is still sound, or opens one.
func (p *Pool) connect(ctx context.Context, request Request) (*connection, error) {
	for {
		kept := p.take(request.Endpoint)
		if kept == nil {
			return p.open(ctx, request)
		}
		now := p.clock.Elapsed()
		if kept.canReuse(now) && !(request.NotRepeatable && now-kept.idleSince > p.recentAnswerWithin) {
			return kept, nil
		}
		kept.close()
	}
}

func (p *Pool) take(to Endpoint) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[to] = idle[:len(idle)-1]
	return last
}

// put keeps a connection idle, or closes it where as many are idle already as may be.
func (p *Pool) put(request Request, c *connection) {
	c.idleSince = p.clock.Elapsed()
	_ = c.socket.SetDeadline(time.Time{})
	if request.IdleTimeout > 0 {
		c.idleTimeout = min(c.idleTimeout, request.IdleTimeout)
	}
	p.mutex.Lock()
	kept := len(p.idle[request.Endpoint]) < request.MaximumIdle
	if kept {
		p.idle[request.Endpoint] = append(p.idle[request.Endpoint], c)
	}
	p.mutex.Unlock()
	if !kept {
		c.close()
	}
}

// Prune closes connections that have been idle as long as they may, and all to endpoints that are no longer in use.
func (p *Pool) Prune(inUse func(Endpoint) bool) {
	now := p.clock.Elapsed()
	var stale []*connection
	p.mutex.Lock()
	for endpoint, idle := range p.idle {
		used := inUse(endpoint)
		kept := idle[:0]
		for _, c := range idle {
			if used && !c.idleTooLong(now) {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		clear(idle[len(kept):])
		p.idle[endpoint] = kept
		if len(kept) == 0 {
			delete(p.idle, endpoint)
		}
	}
	p.mutex.Unlock()
	for _, c := range stale {
		c.close()
	}
}
