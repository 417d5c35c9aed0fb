package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/replica"
)

// modelBackEnd is a back end of the simulation.
type modelBackEnd struct {
	entry replica.Entry
	// slowness is the factor by which its work takes longer. pausedUntil, shedding, unreachable and losingAnswers are
	// further faults that pass after some time.
	slowness      int
	pausedUntil   time.Time
	coldUntil     time.Time
	shedding      bool
	unreachable   bool
	losingAnswers bool
	// atConnectionLimit says whether the back end still counts the connections of stopped nodes and therefore rejects
	// most new connections.
	atConnectionLimit bool
	// crashed is closed when the back end crashes.
	crashed chan struct{}
	// removedAt is when its entry was deleted from the store, zero while the entry exists.
	removedAt time.Time
	// busy holds an element for each request in a slot. queued counts the requests that wait for a slot.
	busy   chan struct{}
	queued int
}

func (s *simulation) addBackEnd(service string, number int) {
	s.backEndCount++
	b := &modelBackEnd{slowness: 1, busy: make(chan struct{}, simulatedSlots), crashed: make(chan struct{}), entry: replica.Entry{
		ID: fmt.Sprint(service, "-", s.backEndCount), Service: service, Address: fmt.Sprint("127.0.0.1:", s.backEndCount),
		Zone: fmt.Sprint("zone-", number%simulatedReplicas), Slots: 5,
	}}
	if s.hasPlacement {
		b.entry.WarmupLeft, b.coldUntil = coldTime.Duration(), time.Now().Add(coldTime.Duration())
	}
	s.mutex.Lock()
	s.backEnds[b.entry.ID] = b
	s.mutex.Unlock()
	entry := b.entry
	s.cluster.store.put(backEndItem(&entry))
}

// exchange is how a back end handles an attempt.
func (s *simulation) exchange(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
	s.mutex.Lock()
	b := s.backEnds[request.Entry.ID]
	// The random numbers depend only on the attempt itself. So a seed gives the same run, in whatever order the
	// attempts run.
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(request.Call.ID, request.Entry.ID, request.Attempt.Number))))
	draw, work := random.IntN(100), time.Duration(5+random.IntN(30))*time.Millisecond
	if b == nil || b.unreachable {
		s.mutex.Unlock()
		return endAfter(ctx, 400*time.Millisecond, forward.NotSent)
	}
	if b.hasCrashed() {
		s.mutex.Unlock()
		return endAfter(ctx, time.Millisecond, forward.NotSent)
	}
	if b.atConnectionLimit && draw < 70 {
		s.mutex.Unlock()
		return connectionRejected(ctx, request)
	}
	refuses := b.shedding && draw < 60 || b.queued >= queueLength
	number := len(s.arrivals)
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: request.Call.ID, backEnd: b, cold: time.Now().Before(b.coldUntil)})
	losesAnswer, wait := b.losingAnswers && draw < 30, time.Until(b.pausedUntil)
	work *= time.Duration(b.slowness)
	s.mutex.Unlock()
	if refuses {
		return forward.Outcome{Kind: forward.Refused}
	}
	if outcome, waits := s.awaitSlot(ctx, b, request.Deadline); !waits {
		return outcome
	}
	defer func() { <-b.busy }()
	s.withLock(func() { s.arrivals[number].ran = true })
	if isCrashing(request.Call.Path) {
		s.crashSoon(ctx, b)
		work = time.Hour
	}
	select {
	case <-b.crashed:
		return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}
	case <-time.After(max(wait, 0) + work):
	case <-time.After(time.Until(request.Deadline)):
		return forward.Outcome{Kind: forward.Lost}
	case <-ctx.Done():
		return forward.Outcome{Kind: forward.Lost}
	}
	if losesAnswer {
		return forward.Outcome{Kind: forward.Lost}
	}
	return answered(request)
}

// awaitSlot lets a request wait for one of a back end's slots. A request without a slot by its deadline is refused. A
// request whose attempt is cancelled while it waits has not run.
func (s *simulation) awaitSlot(ctx context.Context, b *modelBackEnd, deadline time.Time) (outcome forward.Outcome, got bool) {
	s.withLock(func() { b.queued++ })
	defer func() { s.withLock(func() { b.queued-- }) }()
	select {
	case b.busy <- struct{}{}:
		return forward.Outcome{}, true
	case <-b.crashed:
		return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}, false
	case <-time.After(time.Until(deadline)):
		return forward.Outcome{Kind: forward.Refused}, false
	case <-ctx.Done():
		return forward.Outcome{Kind: forward.Lost}, false
	}
}

// inBurst reports whether callers are sending a burst at the moment.
func (s *simulation) inBurst() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bursting
}

// connectionRejected is how an attempt over a new connection ends at a back end at its connection limit. If the
// connection must be verified first, the request was provably not sent. Otherwise the node cannot tell.
func connectionRejected(ctx context.Context, request gateway.BackEndRequest) forward.Outcome {
	outcome := endAfter(ctx, 4*time.Millisecond, forward.Lost)
	if request.VerifyConnection {
		outcome.Kind = forward.NotSent
	}
	outcome.ConnectionRejected = true
	return outcome
}

func endAfter(ctx context.Context, delay time.Duration, kind forward.OutcomeKind) forward.Outcome {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	return forward.Outcome{Kind: kind}
}
