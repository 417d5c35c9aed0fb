package scatter

import (
	"slices"
	"sort"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// Timing of a query.
const (
	// answerMargin is kept before the deadline for handing the answer to the caller.
	answerMargin = 2 * time.Millisecond
	// maximumPlans bounds how many snapshots a query is tried at.
	maximumPlans = 4
	// minimumPatience bounds from below the wait for a silent dispatcher before another is asked.
	minimumPatience = 25 * time.Millisecond
	// patienceShare of the time left is the wait for a silent dispatcher.
	patienceShare = 3
)

// Environment is what a query needs of the node it runs on.
type Environment interface {
	// Routing is what is known now of the service's shards.
	Routing(service string) Routing
	// Dispatcher picks a node that dispatches to a group, none of those excluded. With standIn, deputies and earlier
	// dispatchers are picked too where no other is left.
	Dispatcher(service string, group uint32, excluded []string, standIn bool) (string, bool)
	// NextID returns an id never given before.
	NextID() query.ID
	// Region of the node.
	Region() string
	// SubQueryLatency is a high quantile of the latency of sub-queries, zero while unknown.
	SubQueryLatency() time.Duration
	// SpendReissue takes from the budget for asking a second dispatcher while the first is silent.
	SpendReissue(shards int) bool
	// Suspect notes that a dispatcher is silent.
	Suspect(address string)
}

// Action is something the driver must do: send a message, or take the answer.
type Action struct {
	To      string
	Message message.Message
	// Answer is set once, at the end.
	Answer *Answer
}

// Answer is the outcome of a query.
type Answer struct {
	Documents     []query.ShardDocuments
	Coverage      query.Coverage
	Snapshot      query.Snapshot
	ShardAttempts uint32
	// Failure is set where no answer is given; the coverage is still true.
	Failure *failure.Failure
}

// Request is a search as its root takes it.
type Request struct {
	Service  string
	Body     []byte
	Deadline time.Duration
	Floor    uint64
	Document catalog.Document
}

type shard struct {
	answered bool
	reason   query.Reason
	// live counts sub-queries under way that were asked for the shard.
	live  int
	tried []triedOwner
}

type triedOwner struct {
	group      uint32
	dispatcher string
}

type subQuery struct {
	group      uint32
	dispatcher string
	shards     []uint32
	// heard: something came back.
	heard    bool
	reissued bool
	patience time.Duration
	// last is the final answer, kept while results that were sent before it are still on their way.
	last *message.SubAnswer
}

// Query is one search under way.
type Query struct {
	environment Environment
	request     Request
	startedAt   time.Duration
	plan        Plan
	plans       int
	excluded    []query.Snapshot
	shards      []shard
	holders     [][]uint32
	results     map[uint32]query.ShardDocuments
	answered    uint32
	subQueries  map[query.ID]*subQuery
	order       []query.ID
	attempts    uint32
	// mayHaveRun: a sub-query is not proved not to have run.
	mayHaveRun bool
	retryAfter time.Duration
	actions    []Action
	done       bool
}

// Start plans a search and returns it with its first actions.
func Start(now time.Duration, request Request, environment Environment) (*Query, []Action) {
	q := &Query{
		environment: environment, request: request, startedAt: now,
		results: map[uint32]query.ShardDocuments{}, subQueries: map[query.ID]*subQuery{},
	}
	q.begin(now)
	return q, q.take()
}

// Done reports whether the answer was given.
func (q *Query) Done() bool { return q.done }

func (q *Query) take() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}

func (q *Query) send(to string, m message.Message) {
	q.actions = append(q.actions, Action{To: to, Message: m})
}

// begin plans the whole query at a snapshot and sends it out. Nothing of an earlier plan is kept.
func (q *Query) begin(now time.Duration) {
	routing := q.environment.Routing(q.request.Service)
	plan, found := routing.Choose(q.request.Floor, q.excluded)
	if !found {
		q.noPlan(routing)
		return
	}
	q.plans++
	q.plan = plan
	q.answered = 0
	clear(q.results)
	q.shards = make([]shard, plan.Total)
	q.holders = routing.holders(plan.Snapshot, plan.Total, q.environment.Region())
	all := make([]uint32, plan.Total)
	for i := range all {
		all[i] = uint32(i)
	}
	q.ask(now, all, query.ReasonNoReplica)
	q.finishIfDone(now)
}

func (q *Query) noPlan(routing Routing) {
	if len(q.excluded) > 0 {
		q.finish(query.ReasonVersionUnavailable)
		return
	}
	coverage := query.Coverage{}
	if _, total, known := routing.Newest(); known {
		coverage = query.Coverage{Total: total, TotalKnown: true}
		for number := range total {
			coverage.Missing = append(coverage.Missing, query.Missing{Shard: number, Reason: query.ReasonNoReplica})
		}
	}
	code, text := failure.NoReplica, "no back end of the service can be asked"
	if _, any := routing.Choose(0, nil); any {
		code, text = failure.SnapshotUnavailable, "the minimum version is not held yet"
	}
	q.conclude(Answer{Coverage: coverage, Failure: failure.Refused(code, text, time.Second)})
}

// Owns reports whether the id is of a sub-query of this query.
func (q *Query) Owns(id query.ID) bool { return q.subQueries[id] != nil }

// Receive takes in an answer to a sub-query. One at another snapshot, or for shards that were not asked for, is dropped.
func (q *Query) Receive(now time.Duration, from string, m *message.SubAnswer) []Action {
	sub := q.subQueries[m.ID]
	if q.done || sub == nil || from != sub.dispatcher {
		return nil
	}
	sub.heard = true
	if m.Snapshot == q.plan.Snapshot {
		q.accept(sub, m.Results)
	}
	if m.Done {
		sub.last = m
		sub.patience = now + minimumPatience
	}
	if sub.last != nil && q.accounted(sub) {
		q.close(now, m.ID, sub, sub.last)
	}
	if !q.done {
		q.finishIfDone(now)
	}
	return q.take()
}

func (q *Query) accept(sub *subQuery, results []query.ShardDocuments) {
	for _, result := range results {
		if !slices.Contains(sub.shards, result.Shard) || q.shards[result.Shard].answered {
			continue
		}
		q.shards[result.Shard].answered = true
		q.shards[result.Shard].reason = query.ReasonNone
		q.results[result.Shard] = result
		q.answered++
	}
}

// accounted reports whether each shard of a sub-query is answered or said to be missing. Results may come after the final
// answer where messages overtake each other.
func (q *Query) accounted(sub *subQuery) bool {
	answered := 0
	for _, number := range sub.shards {
		if q.shards[number].answered {
			answered++
		}
	}
	for _, missing := range sub.last.Missing {
		if missing.Shard < uint32(len(q.shards)) && !q.shards[missing.Shard].answered {
			answered++
		}
	}
	return answered >= len(sub.shards)
}

// close ends a sub-query and decides what happens to its missing shards.
func (q *Query) close(now time.Duration, id query.ID, sub *subQuery, m *message.SubAnswer) {
	q.remove(id, sub)
	q.attempts += m.ShardAttempts
	if !m.NotRun {
		q.mayHaveRun = true
	}
	retryAfter := time.Duration(m.RetryAfterMilliseconds) * time.Millisecond
	q.retryAfter = max(q.retryAfter, retryAfter)
	var open []uint32
	reason := query.ReasonLost
	for _, missing := range m.Missing {
		if missing.Shard >= uint32(len(q.shards)) || q.shards[missing.Shard].answered {
			continue
		}
		if missing.Reason == query.ReasonVersionUnavailable && q.replan(now) {
			return
		}
		q.shards[missing.Shard].reason = missing.Reason
		reason = missing.Reason
		if q.shards[missing.Shard].live == 0 {
			open = append(open, missing.Shard)
		}
	}
	q.askAgain(now, open, reason)
}

func (q *Query) remove(id query.ID, sub *subQuery) {
	delete(q.subQueries, id)
	q.order = slices.DeleteFunc(q.order, func(other query.ID) bool { return other == id })
	for _, number := range sub.shards {
		q.shards[number].live--
	}
}

// NextWake returns when Tick must be called at the latest.
func (q *Query) NextWake() time.Duration {
	wake := q.request.Deadline - answerMargin
	if tail := q.tailBudgetEnd(); tail > 0 && !q.tailSpentUselessly() {
		wake = min(wake, tail)
	}
	for _, sub := range q.subQueries {
		if sub.waiting() {
			wake = min(wake, sub.patience)
		}
	}
	return wake
}

func (q *Query) tailBudgetEnd() time.Duration {
	specification := q.request.Document.Specification
	if specification.Preference != catalog.LatencyFirst || specification.TailBudgetMilliseconds == 0 {
		return 0
	}
	return q.startedAt + time.Duration(specification.TailBudgetMilliseconds)*time.Millisecond
}

// tailSpentUselessly: with too little coverage there is nothing to finish early with; answers wake the query.
func (q *Query) tailSpentUselessly() bool { return !q.enough() }

func (q *Query) enough() bool {
	return q.plan.Total > 0 && float64(q.answered) >= q.request.Document.Specification.MinimumCoverage*float64(q.plan.Total)
}

// Tick takes in the passing of time.
func (q *Query) Tick(now time.Duration) []Action {
	if q.done {
		return nil
	}
	if now >= q.request.Deadline-answerMargin {
		q.finish(query.ReasonDeadline)
		return q.take()
	}
	for _, id := range slices.Clone(q.order) {
		sub := q.subQueries[id]
		if sub == nil || !sub.waiting() || now < sub.patience {
			continue
		}
		if sub.last != nil {
			q.resultsLost(now, id, sub)
		} else {
			q.reissue(now, sub)
		}
	}
	q.finishIfDone(now)
	return q.take()
}

func (q *Query) finishIfDone(now time.Duration) {
	if q.done || q.plan.Total == 0 {
		return
	}
	if q.answered == q.plan.Total {
		q.finish(query.ReasonNone)
		return
	}
	if tail := q.tailBudgetEnd(); tail > 0 && now >= tail && q.enough() {
		q.finish(query.ReasonEarlyFinish)
		return
	}
	for i := range q.shards {
		if !q.shards[i].answered && (q.shards[i].live > 0 || q.shards[i].reason == query.ReasonNone) {
			return
		}
	}
	q.finish(query.ReasonLost)
}

// finish gives the answer; shards without one are missing for their own reason, or else for the given one.
func (q *Query) finish(reason query.Reason) {
	q.cancelAll()
	answer := Answer{Snapshot: q.plan.Snapshot, ShardAttempts: q.attempts}
	answer.Coverage = query.Coverage{Total: q.plan.Total, TotalKnown: q.plan.Total > 0, Answered: q.answered}
	for number := range q.shards {
		state := &q.shards[number]
		if state.answered {
			answer.Documents = append(answer.Documents, q.results[uint32(number)])
			continue
		}
		missing := query.Missing{Shard: uint32(number), Reason: state.reason}
		if missing.Reason == query.ReasonNone {
			missing.Reason = reason
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, missing)
	}
	sort.Slice(answer.Documents, func(i, j int) bool { return answer.Documents[i].Shard < answer.Documents[j].Shard })
	answer.Failure = q.failureFor(answer.Coverage)
	if answer.Failure != nil {
		answer.Documents = nil
	}
	q.conclude(answer)
}

// failureFor returns the failure of an answer with too little coverage, or nil.
func (q *Query) failureFor(coverage query.Coverage) *failure.Failure {
	if q.answered > 0 && q.enough() {
		return nil
	}
	if q.answered == 0 && !q.mayHaveRun {
		code := failure.NoReplica
		for _, missing := range coverage.Missing {
			if missing.Reason == query.ReasonOverloaded {
				code = failure.Overloaded
			}
		}
		return failure.Refused(code, "no back end took the search", max(q.retryAfter, 10*time.Millisecond))
	}
	result := failure.New(failure.CoverageTooLow, "fewer shards answered than the service's minimum coverage")
	result.RetryAfter = max(q.retryAfter, 100*time.Millisecond)
	return result
}

func (q *Query) conclude(answer Answer) {
	q.done = true
	q.actions = append(q.actions, Action{Answer: &answer})
}
