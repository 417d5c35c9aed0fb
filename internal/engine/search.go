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
	// TimeLimit is the time that the caller allows. Zero means the service's deadline.
	TimeLimit time.Duration
	// MinimumVersion is the lowest version of the index at which the search may run.
	MinimumVersion uint64
}

// search is a caller's search in flight.
type search struct {
	number  uint64
	caller  Caller
	request scatter.Request
	// waitUntil is the end of the wait for the holdings of the back ends. It applies while query is nil.
	waitUntil time.Duration
	query     *scatter.Query
	startedAt time.Duration
	// dispatchers maps each sub-query in flight to its dispatcher.
	dispatchers map[query.ID]string
}

// nextWake returns when tickSearches must handle the search at the latest.
func (s *search) nextWake() time.Duration {
	if s.query == nil {
		return s.waitUntil
	}
	return s.query.NextWake()
}

// Search receives a caller's search. The answer comes in a later Output, or in this one.
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

// refuseSearch answers a search with a refusal.
func (e *Engine) refuseSearch(caller Caller, refusal *failure.Failure) {
	e.answerSearch(caller, "", scatter.Answer{Failure: refusal})
}

// startSearch plans a search and sends its sub-queries.
func (e *Engine) startSearch(s *search) {
	started, actions := scatter.Start(e.now, s.request, e)
	s.query = started
	e.reissues.Earn(1)
	e.performSearch(s, actions)
}

// startWaitingSearches starts the searches that waited for the holdings of a service's back ends.
func (e *Engine) startWaitingSearches(service string) {
	for _, number := range sortedKeys(e.searches) {
		if s := e.searches[number]; s != nil && s.query == nil && s.request.Service == service {
			e.startSearch(s)
		}
	}
}

// performSearch carries out the actions of a search.
func (e *Engine) performSearch(s *search, actions []scatter.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case scatter.Send:
			e.track(s, action.To, action.Message)
			e.send(action.To, action.Message)
		case scatter.Answer:
			e.finishSearch(s, action)
		default:
			panic(fmt.Sprintf("engine: unhandled type of a query's action: %T", action))
		}
	}
	e.untrackClosed(s)
}

// untrackClosed stops tracking the sub-queries that the search has closed.
func (e *Engine) untrackClosed(s *search) {
	for id := range s.dispatchers {
		if !s.query.HasSubQuery(id) {
			e.untrack(s, id)
		}
	}
}

// track records the search and the dispatcher of a sub-query that is sent, and counts it as in flight there.
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

// untrack deletes what track has recorded for a sub-query.
func (e *Engine) untrack(s *search, id query.ID) {
	if to, found := s.dispatchers[id]; found {
		e.loadOf(to).inFlight--
		delete(s.dispatchers, id)
		delete(e.subQueryOwners, id)
	}
}

// receiveSubAnswer passes a dispatcher's answer on to its search or execute.
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
		// Refusals are not recorded. They come at once and do not show how long a dispatcher takes for its work.
		e.subQueryLatencies.Record(e.now - s.startedAt)
	}
	e.performSearch(s, actions)
}

// finishSearch ends a search and returns the answer to its caller.
func (e *Engine) finishSearch(s *search, answer scatter.Answer) {
	for id := range s.dispatchers {
		e.untrack(s, id)
	}
	delete(e.searches, s.number)
	e.answerSearch(s.caller, s.request.Service, answer)
}

// answerSearch counts the answer of a search and adds it to the output.
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
	age, known := e.gossip.ConfigurationAge(e.now)
	if !known {
		age = -1
	}
	e.output.SearchAnswers = append(e.output.SearchAnswers, SearchAnswer{
		Caller: caller, Answer: answer, CatalogVersion: e.catalog.Version(service), ConfigurationAge: age,
	})
}

// tickSearches starts the searches that have waited long enough for holdings, and advances those that are due.
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
