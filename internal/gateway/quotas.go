package gateway

import (
	"context"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/quota"
	"stiletrail/internal/roster"
	"stiletrail/internal/routing"
	"stiletrail/internal/tenant"
)

const (
	// quotaTickInterval is the pause between two rounds of periodic work on limits.
	quotaTickInterval = 100 * time.Millisecond
	// quotaWaitShare is the part of the target latency, and maximumQuotaWait the longest time, for which a request waits for
	// a token. Most of it is left to serve the request.
	quotaWaitShare   = 0.5
	maximumQuotaWait = 250 * clock.Ms(1)
	// earlyComparisonTime is for how long after its start a node compares views with seeds at each tick, unless it knows more than
	// maximumEarlyMembers, whose views would be too large for that.
	earlyComparisonTime = 4 * time.Second
	maximumEarlyMembers = 500
)

// localProcess identifies a node without peers, which lends all tokens itself.
var localProcess = quota.Self{Address: "local", Process: 1}

// quotas takes tokens of limits over all nodes, of tenants and of the lent retry slack, and lends them to other nodes.
// Gateway.mu guards it, except the channel used.
type quotas struct {
	holder *quota.Holder
	// limits are those of the tenants of the configuration in force.
	limits map[quota.LimitID]quota.Limit
	// news are closed when there is news of a key for which requests wait.
	news map[quota.LimitID]chan struct{}
	// metOthers is set once another member was heard of.
	metOthers bool
	// comparisons counts the comparisons of views with seeds.
	comparisons int
	// used is signalled when a limit was used, from which moment on there is periodic work.
	used chan struct{}
}

// QuotaDecision is what decided that a request was refused because of its tenant's limit.
type QuotaDecision struct {
	// Allowed is the limit in a window, and InUse how much of it is used or lent, as far as this node knows.
	Allowed float64
	InUse   int
	// Age is the time since the oldest word of an accountant, in milliseconds.
	Age clock.Ms
	// Answered is set if the accountants have answered in time. InUse and Age are 0 otherwise.
	Answered bool
	// Below is set if InUse is below Allowed, or if the accountants have not answered in time.
	Below bool
	// Waited is how long the request has waited for an answer, in milliseconds.
	Waited clock.Ms
}

// heldToken is a token that a request has taken.
type heldToken struct {
	key   quota.LimitID
	token quota.Token
}

func newQuotas(now clock.Ms, self quota.Self) quotas {
	q := quotas{limits: map[quota.LimitID]quota.Limit{}, news: map[quota.LimitID]chan struct{}{}, used: make(chan struct{}, 1)}
	q.holder = quota.New(now, self, nil)
	q.holder.SetMembers(now, []quota.Member{{Address: self.Address, Usable: true}}, true)
	return q
}

// joinQuotas replaces the holder of a node without peers by one that lends tokens to and borrows from peers. It is called
// before the node serves requests.
func (g *Gateway) joinQuotas(self membership.Member) {
	current := func(key quota.LimitID) (quota.Limit, bool) {
		limit, known := g.quotas.limits[key]
		return limit, known
	}
	g.quotas.holder = quota.New(g.nowMs(), quota.Self{Address: self.Address, Process: roster.ProcessOf(self)}, current)
}

// cutOffFromStart reports whether this node has seeds and has never heard of another member. It may be the only node, but
// others may also have all tokens.
func (g *Gateway) cutOffFromStart() bool {
	self := g.fleet.members.Self().Address
	others := slices.ContainsFunc(g.fleet.seeds, func(seed string) bool { return seed != self })
	g.quotas.metOthers = g.quotas.metOthers || len(g.fleet.members.Members()) > 1
	return others && !g.quotas.metOthers
}

// compareViewsEarly compares views with the seeds while this node starts, if there are limits: accountants lend nothing until
// they know the others. All nodes ask the seeds when they start, so the seeds know them before others do.
func (g *Gateway) compareViewsEarly(now time.Duration) {
	starting := now < earlyComparisonTime && len(g.quotas.limits) > 0
	if !starting || len(g.fleet.seeds) == 0 || len(g.fleet.members.Members()) > maximumEarlyMembers {
		return
	}
	g.quotas.comparisons++
	seed := g.fleet.seeds[g.quotas.comparisons%len(g.fleet.seeds)]
	if seed != g.fleet.members.Self().Address {
		g.sendMembership(g.fleet.members.Compare(seed))
	}
}

// updateLimits finds the limits of the tenants of a configuration.
func (g *Gateway) updateLimits(table *routing.Table) {
	clear(g.quotas.limits)
	if table == nil {
		return
	}
	for i, tenants := 0, table.Tenants().All(); i < len(tenants); i++ {
		if t := &tenants[i]; t.Rate > 0 {
			g.quotas.limits[limitIDOfTenant(t)] = g.limitOf(t)
		}
	}
}

func limitIDOfTenant(t *tenant.Tenant) quota.LimitID { return quota.LimitIDOf("tenant", t.Name) }

func (g *Gateway) limitOf(t *tenant.Tenant) quota.Limit {
	settings := g.settings.Load().Quotas
	allowed := t.Rate*float64(settings.Window)/float64(clock.Second) + t.Burst
	return quota.Limit{Window: settings.Window, Allowed: allowed, Bound: allowed*(1+settings.Overage) + settings.Slack}
}

// takeToken takes a token of the limit of a call's tenant, and waits for one if this node has to borrow it. It returns nil
// for both if there is no limit.
func (g *Gateway) takeToken(ctx context.Context, call *Call, route *routing.Route, arrived time.Duration) (*heldToken, *Result) {
	if call.Tenant == nil || call.Tenant.Rate <= 0 {
		return nil, nil
	}
	key, limit := limitIDOfTenant(call.Tenant), g.limitOf(call.Tenant)
	began := g.nowMs()
	giveUpAt := quotaWaitUntil(began, clock.FromDuration(arrived), route.TargetLatency)
	for {
		verdict, news := g.tryToken(key, limit)
		switch v := verdict.(type) {
		case quota.Granted:
			return &heldToken{key: key, token: v.Token}, nil
		case quota.Exceeded:
			decision := QuotaDecision{Allowed: limit.Allowed, InUse: v.InUse, Age: v.Age, Answered: true, Below: v.Below, Waited: g.nowMs() - began}
			return nil, &Result{Answer: *refuseQuotaExceeded(v.RetryAfter), Quota: &decision}
		case quota.Pending:
			now := g.nowMs()
			if now >= giveUpAt {
				return nil, &Result{Answer: *refuseQuotaUnanswered(), Quota: &QuotaDecision{Allowed: limit.Allowed, Below: true, Waited: now - began}}
			}
			if !g.awaitNews(ctx, news, min(v.Until, giveUpAt)-now) {
				return nil, &Result{CallerGone: true}
			}
		default:
			panic("gateway: unknown kind of verdict on a token")
		}
	}
}

// quotaWaitUntil returns until when a request waits for a token. One that was read late may wait for half as long from
// then on.
func quotaWaitUntil(now, arrived clock.Ms, target time.Duration) clock.Ms {
	longest := maximumQuotaWait
	if target > 0 {
		longest = min(longest, clock.Ms(quotaWaitShare*float64(clock.FromDuration(target))))
	}
	return max(arrived+longest, now+longest/2)
}

// tryToken takes a token if this node has one. Otherwise, the returned channel is closed when there is news of the key.
func (g *Gateway) tryToken(key quota.LimitID, limit quota.Limit) (quota.TakeResult, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.quotas.holder.Take(g.nowMs(), key, limit, 1)
	g.sendQuotas()
	if _, pending := verdict.(quota.Pending); !pending {
		return verdict, nil
	}
	if g.quotas.news[key] == nil {
		g.quotas.news[key] = make(chan struct{})
	}
	return verdict, g.quotas.news[key]
}

// awaitNews waits for news for at most the given time. It returns false if the caller has disconnected.
func (g *Gateway) awaitNews(ctx context.Context, news <-chan struct{}, longest clock.Ms) bool {
	timer := time.NewTimer(max(longest, 1).Duration())
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// returnToken returns the token of a request of which nothing has run.
func (g *Gateway) returnToken(held *heldToken) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.holder.Return(g.nowMs(), held.key, held.token)
}

// mayHaveRun reports whether a back end may have run the request.
func (r *Result) mayHaveRun() bool {
	if r.Failure != nil {
		return !r.Failure.NotRun
	}
	return !r.CallerGone || len(r.Attempts) > 0
}

// receiveQuotas applies a report or a grant of another node, and wakes the requests that wait for it.
func (g *Gateway) receiveQuotas(now time.Duration, from string, m message.Message) {
	for _, key := range g.quotas.holder.Receive(clock.FromDuration(now), from, m) {
		if news := g.quotas.news[key]; news != nil {
			close(news)
			delete(g.quotas.news, key)
		}
	}
	g.sendQuotas()
}

// sendQuotas sends what the holder has to send. From the first use of a limit on there is periodic work.
func (g *Gateway) sendQuotas() {
	g.quotas.signalUse()
	for _, send := range g.quotas.holder.Messages() {
		g.fleet.transport.Send(send.To, send.Message)
	}
}

func (q *quotas) signalUse() {
	select {
	case q.used <- struct{}{}:
	default:
	}
}

// tickQuotas does the periodic work on limits, from the first use of one until the context ends.
func (g *Gateway) tickQuotas(ctx context.Context) {
	select {
	case <-g.quotas.used:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		pause(ctx, quotaTickInterval)
		g.mu.Lock()
		g.quotas.holder.Tick(g.nowMs())
		g.sendQuotas()
		g.mu.Unlock()
	}
}
