package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"stiletrail/internal/clock"
)

// defaultRecentAnswerWithin is how long after an answer a connection is considered reliable for a request that must
// not be repeated. A new connection costs such a request one round trip, while a connection that no longer works
// loses it.
const defaultRecentAnswerWithin = 250 * time.Millisecond

// Endpoint is a process at an address. If another process takes over the address, connections to the earlier
// process are not used for it.
type Endpoint struct {
	Address string
	Process string
}

// Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	// clock measures how long connections are idle. It includes the time for which the machine is suspended, during
	// which back ends close idle connections.
	clock clock.Clock
	mutex sync.Mutex
	idle  map[Endpoint][]*connection
	// OpenedTotal counts the connections opened since the start. OpenCount is the number that are open now.
	OpenedTotal atomic.Int64
	OpenCount   atomic.Int64
	// OversizedTotal counts the answers since the start whose head or body was larger than allowed.
	OversizedTotal atomic.Int64
	// OnConnected, if set, is called with the time that each opening of a connection took.
	OnConnected func(time.Duration)
	// verificationMargin is added to the round-trip time when a new connection is verified.
	verificationMargin time.Duration
	// recentAnswerWithin is how long after an answer a connection is considered reliable for a request that must
	// not be repeated.
	recentAnswerWithin time.Duration
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{clock: clock.Start(), idle: map[Endpoint][]*connection{}, verificationMargin: defaultVerificationMargin, recentAnswerWithin: defaultRecentAnswerWithin}
}

// connect returns an idle connection that can be reused, or opens a new one.
func (p *Pool) connect(ctx context.Context, request Request) (*connection, error) {
	for {
		kept := p.takeIdle(request.Endpoint)
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

func (p *Pool) takeIdle(to Endpoint) *connection {
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

// put keeps a connection idle, or closes it if the maximum number of idle connections is reached.
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

// Prune closes the connections whose idle time is over, and all connections to endpoints that are no longer in use.
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
