package exchange

import (
	"context"
	"slices"
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

// connect returns an idle connection that can be reused, or opens a new one. If all idle connections have carried the
// request's id, the new one replaces the one that has been idle longest, so that the back end gets no more connections
// than before. It has probably just refused the request, and a full back end may reject new connections; so the new one
// is verified.
func (p *Pool) connect(ctx context.Context, request Request) (*connection, error) {
	for {
		kept := p.takeIdle(request)
		switch {
		case kept == nil:
			return p.open(ctx, request)
		case kept.carried.contains(request.ID):
			kept.close()
			request.VerifyConnection = true
			return p.open(ctx, request)
		case p.mayReuse(kept, request):
			return kept, nil
		}
		kept.close()
	}
}

func (p *Pool) mayReuse(c *connection, request Request) bool {
	now := p.clock.Elapsed()
	reliable := !request.NotRepeatable || now-c.idleSince <= p.recentAnswerWithin
	return reliable && c.canReuse(now)
}

// takeIdle takes the idle connection to the request's endpoint that was used last and has not carried the request's id.
// If all have carried it, it takes the one that has been idle longest. It returns nil if there is none.
func (p *Pool) takeIdle(request Request) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[request.Endpoint]
	if len(idle) == 0 {
		return nil
	}
	i := len(idle) - 1
	for i > 0 && idle[i].carried.contains(request.ID) {
		i--
	}
	taken := idle[i]
	p.idle[request.Endpoint] = slices.Delete(idle, i, i+1)
	return taken
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
