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
	// slowness multiplies its work; pausedUntil, shedding, dark and losing are troubles that come and go.
	slowness      int
	pausedUntil   time.Time
	coldUntil     time.Time
	shedding      bool
	unreachable   bool
	losingAnswers bool
	// atConnectionLimit: it still counts the connections of nodes that ended, and turns most new ones away.
	atConnectionLimit bool
	// hasCrashed is closed when it has ended.
	crashed chan struct{}
	// removedAt is when its entry went, zero while it is there.
	removedAt time.Time
	// busy counts the requests in its slots, queued those that wait for one.
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

// exchange is what a back end does with an attempt.
func (s *simulation) exchange(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
	s.mutex.Lock()
	b := s.backEnds[send.Entry.ID]
	// Drawn from what the attempt is, so that a seed gives one course whatever the order in which attempts run.
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(send.Call.ID, send.Entry.ID, send.Attempt.Number))))
	fate, work := random.IntN(100), time.Duration(5+random.IntN(30))*time.Millisecond
	if b == nil || b.unreachable {
		s.mutex.Unlock()
		return endAfter(ctx, 400*time.Millisecond, forward.NotSent)
	}
	if b.hasCrashed() {
		s.mutex.Unlock()
		return endAfter(ctx, time.Millisecond, forward.NotSent)
	}
	if b.atConnectionLimit && fate < 70 {
		s.mutex.Unlock()
		return connectionRejected(ctx, send)
	}
	refuses := b.shedding && fate < 60 || b.queued >= queueLength
	number := len(s.arrivals)
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: send.Call.ID, backEnd: b, cold: time.Now().Before(b.coldUntil)})
	losing, wait := b.losingAnswers && fate < 30, time.Until(b.pausedUntil)
	work *= time.Duration(b.slowness)
	s.mutex.Unlock()
	if refuses {
		return forward.Outcome{Kind: forward.Refused}
	}
	if outcome, waits := s.awaitSlot(ctx, b, send.Deadline); !waits {
		return outcome
	}
	defer func() { <-b.busy }()
	s.withLock(func() { s.arrivals[number].ran = true })
	if isCrashing(send.Call.Path) {
		s.crashSoon(ctx, b)
		work = time.Hour
	}
	select {
	case <-b.crashed:
		return forward.Outcome{Kind: forward.Lost, BackEndCrashed: true}
	case <-time.After(max(wait, 0) + work):
	case <-time.After(time.Until(send.Deadline)):
		return forward.Outcome{Kind: forward.Lost}
	case <-ctx.Done():
		return forward.Outcome{Kind: forward.Lost}
	}
	if losing {
		return forward.Outcome{Kind: forward.Lost}
	}
	return answered(send)
}

// awaitSlot has a request wait for one of a back end's slots. Without one by its deadline it is refused; one whose caller has left has not run.
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

// inBurst reports whether there is a burst at the moment.
func (s *simulation) inBurst() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bursting
}

// connectionRejected is what becomes of a new connection to a back end at its limit. One that must prove itself is known not to have carried the
// request; of another the node cannot tell.
func connectionRejected(ctx context.Context, send gateway.BackEndRequest) forward.Outcome {
	outcome := endAfter(ctx, 4*time.Millisecond, forward.Lost)
	if send.VerifyConnection {
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
