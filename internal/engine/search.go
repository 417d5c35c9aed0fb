package engine

import (
	"fmt"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
	"stiletrail/internal/scatter"
)

// SearchRequest is a caller's search.
type SearchRequest struct {
	Service string
	Body    []byte
	// TimeLimit is the time the caller gives; zero takes the service's deadline.
	TimeLimit time.Duration
	// MinimumVersion of the index.
	MinimumVersion uint64
}

// search is a caller's search under way.
type search struct {
	number  uint64
	caller  Caller
	request scatter.Request
	// waitUntil bounds the wait for what the shards hold, while query is nil.
	waitUntil time.Duration
	query     *scatter.Query
	startedAt time.Duration
	// dispatchers of the sub-queries under way.
	dispatchers map[query.ID]string
}

func (s *search) nextWake() time.Duration {
	if s.query == nil {
		return s.waitUntil
	}
	return s.query.NextWake()
}

// Search takes a caller's search; its answer comes with a later Output, or with this one.
func (e *Engine) Search(now time.Duration, caller Caller, request SearchRequest) Output {
	e.beginCall(now)
	e.Counters.Searches++
	if refusal := e.admit(request.Service); refusal != nil {
		e.refuseSearch(caller, refusal)
		return e.endCall()
	}
	document, _ := e.catalog.Get(request.Service)
	within := request.TimeLimit
	if within <= 0 {
		within = time.Duration(document.Specification.DeadlineMilliseconds) * time.Millisecond
	}
	s := &search{
		number: e.nextNumber(), caller: caller, startedAt: now, dispatchers: map[query.ID]string{},
		request: scatter.Request{
			Service: request.Service, Body: request.Body, Deadline: now + within, MinimumVersion: request.MinimumVersion,
			Document: document,
		},
		waitUntil: now + min(e.settings.RoutingWait, within/2),
	}
	e.searches[s.number] = s
	if e.routeFor(request.Service).complete() {
		e.startSearch(s)
	}
	return e.endCall()
}

func (e *Engine) refuseSearch(caller Caller, refusal *failure.Failure) {
	e.answerSearch(caller, "", scatter.Answer{Failure: refusal})
}

func (e *Engine) startSearch(s *search) {
	started, actions := scatter.Start(e.now, s.request, e)
	s.query = started
	e.reissues.Earn(1)
	e.performSearch(s, actions)
}

// startWaitingSearches starts the searches that waited for what a service's shards hold.
func (e *Engine) startWaitingSearches(service string) {
	for _, number := range sortedKeys(e.searches) {
		if s := e.searches[number]; s != nil && s.query == nil && s.request.Service == service {
			e.startSearch(s)
		}
	}
}

// performSearch carries out what a query decided.
func (e *Engine) performSearch(s *search, actions []scatter.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case scatter.Send:
			e.track(s, action.To, action.Message)
			e.send(action.To, action.Message)
		case scatter.Answer:
			e.finishSearch(s, action)
		default:
			panic(fmt.Sprintf("engine: no case for the query's action %T", action))
		}
	}
	e.untrackClosed(s)
}

// untrackClosed stops tracking the sub-queries that the query has closed.
func (e *Engine) untrackClosed(s *search) {
	for id := range s.dispatchers {
		if !s.query.HasSubQuery(id) {
			e.untrack(s, id)
		}
	}
}

// track keeps which search a sub-query belongs to, and how many a dispatcher has.
func (e *Engine) track(s *search, to string, m message.Message) {
	switch m := m.(type) {
	case *message.SubQuery:
		s.dispatchers[m.ID] = to
		e.subQueryOwners[m.ID] = s.number
		e.loadOf(to).inFlight++
	case *message.SubCancel:
		e.untrack(s, m.ID)
	}
}

func (e *Engine) untrack(s *search, id query.ID) {
	if to, found := s.dispatchers[id]; found {
		e.loadOf(to).inFlight--
		delete(s.dispatchers, id)
		delete(e.subQueryOwners, id)
	}
}

func (e *Engine) receiveSubAnswer(from string, m *message.SubAnswer) {
	number, found := e.subQueryOwners[m.ID]
	if !found {
		return
	}
	if x := e.executes[number]; x != nil {
		e.receiveExecuteAnswer(x, from, m)
		return
	}
	s := e.searches[number]
	if s == nil || s.query == nil {
		return
	}
	actions := s.query.Receive(e.now, from, m)
	if m.Done && !m.NotRun {
		// Refusals come at once and say nothing of how long a silent dispatcher may be working.
		e.subQueryLatencies.Record(e.now - s.startedAt)
	}
	e.performSearch(s, actions)
}

// finishSearch gives the answer of a search to its caller.
func (e *Engine) finishSearch(s *search, answer scatter.Answer) {
	for id := range s.dispatchers {
		e.untrack(s, id)
	}
	delete(e.searches, s.number)
	e.answerSearch(s.caller, s.request.Service, answer)
}

// answerSearch counts an answer and hands it to the driver.
func (e *Engine) answerSearch(caller Caller, service string, answer scatter.Answer) {
	switch {
	case answer.Failure != nil && answer.Failure.NotRun:
		e.Counters.Refused++
	case answer.Failure != nil:
		e.Counters.Failed++
	case answer.Coverage.Complete():
		e.Counters.Complete++
	default:
		e.Counters.Partial++
	}
	age, known := e.gossip.Age(e.now)
	if !known {
		age = -1
	}
	e.output.SearchAnswers = append(e.output.SearchAnswers, SearchAnswer{
		Caller: caller, Answer: answer, CatalogVersion: e.catalog.Version(service), ConfigurationAge: age,
	})
}

func (e *Engine) tickSearches() {
	for _, number := range sortedKeys(e.searches) {
		s := e.searches[number]
		if s == nil || e.now < s.nextWake() {
			continue
		}
		if s.query == nil {
			e.startSearch(s)
			continue
		}
		e.performSearch(s, s.query.Tick(e.now))
	}
}
