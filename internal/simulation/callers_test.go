package simulation

import (
	"fmt"
	"slices"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/intent"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// call is a request in flight from a caller or an operator.
type call struct {
	node      *simNode
	service   *simService
	body      string
	startedAt time.Duration
	// arrived says that the request has reached the node.
	arrived bool
	search  bool
	execute *execution
	change  *change
}

// execution is a request that is not repeatable. All its sends carry the same ticket.
type execution struct {
	body   string
	key    string
	ticket []byte
	// sends counts the requests sent with the ticket. open counts those that have no answer yet.
	sends int
	open  int
}

// change is an operator's confirmation of a planned intent, with the number of times it was sent again.
type change struct {
	operation string
	service   string
	base      uint64
	intent    intent.Intent
	resends   int
}

// SearchOutcome is the result of one search, as passed to World.OnSearchAnswered.
type SearchOutcome struct {
	StartedAt time.Duration
	Elapsed   time.Duration
	Coverage  query.Coverage
	Failure   *failure.Failure
	Attempts  uint32
}

func (w *World) addCall(c *call) engine.Caller {
	w.nextCall++
	c.startedAt = w.now
	w.callers[w.nextCall] = c
	return w.nextCall
}

// liveNode returns a random node that runs, or nil.
func (w *World) liveNode() *simNode {
	if len(w.live) == 0 {
		return nil
	}
	return w.nodes[w.live[w.random.IntN(len(w.live))]]
}

// callerNode returns a random node to which a load balancer would send callers: one that is not leaving, if there is one.
func (w *World) callerNode() *simNode {
	for range 20 {
		n := w.liveNode()
		// During planned stops callers go to ready nodes only; otherwise also to nodes that are not ready.
		if n != nil && !n.leaving && (n.engine.Ready() || !w.Checker.PlannedStopsOnly) {
			return n
		}
	}
	return w.liveNode()
}

// Search sends a search from a caller to a node.
func (w *World) Search(n *simNode, service string, body string) {
	s := w.services[service]
	caller := w.addCall(&call{node: n, service: s, body: body, search: true})
	w.schedule(w.jitter(w.options.Distances.Client), func() {
		if !w.arriveAtNode(n, caller) {
			return
		}
		w.step(n, func() engine.Output {
			return n.engine.Search(w.now, caller, engine.SearchRequest{Service: service, Body: []byte(body)})
		})
	})
}

// arriveAtNode marks a request as arrived at its node. It returns false if the node is dead, so that the caller cannot connect.
func (w *World) arriveAtNode(n *simNode, caller engine.Caller) bool {
	c := w.callers[caller]
	if n.dead || c == nil {
		delete(w.callers, caller)
		return false
	}
	c.arrived = true
	return true
}

// startExecution mints a ticket at one node, sends the request and resends it up to two times within 2 s, usually through
// other nodes.
func (w *World) startExecution(service string, number int) {
	minting := w.callerNode()
	if minting == nil || minting.frozen {
		return
	}
	ticket, err := minting.engine.MintTicket(w.now)
	if err != nil {
		return
	}
	x := &execution{body: fmt.Sprintf("execute-%d", number), key: fmt.Sprintf("%s/%05d", service, w.random.IntN(8)), ticket: ticket}
	w.Checker.executions[x.body] = x
	w.sendExecution(service, x)
	for range w.random.IntN(3) {
		w.schedule(time.Duration(w.random.Int64N(int64(2*time.Second))), func() { w.sendExecution(service, x) })
	}
}

func (w *World) sendExecution(service string, x *execution) {
	n := w.callerNode()
	if n == nil {
		return
	}
	x.sends++
	x.open++
	// The request may run for this send, even if an earlier send was refused.
	delete(w.Checker.refusedAsNotRun, x.body)
	caller := w.addCall(&call{node: n, service: w.services[service], body: x.body, execute: x})
	w.schedule(w.jitter(w.options.Distances.Client), func() {
		if !w.arriveAtNode(n, caller) {
			return
		}
		w.step(n, func() engine.Output {
			return n.engine.Execute(w.now, caller, engine.ExecuteRequest{
				Service: service, Key: x.key, Body: []byte(x.body), Ticket: x.ticket, TimeLimit: time.Second,
			})
		})
	})
}

// IntentFor returns an intent that describes the service with its current back ends.
func (w *World) IntentFor(s *simService) intent.Intent {
	preference := catalog.LatencyFirst
	if s.CoverageFirst {
		preference = catalog.CoverageFirst
	}
	wanted := intent.Intent{Service: s.Name, Specification: catalog.Specification{
		MinimumCoverage: s.MinimumCoverage, Preference: preference,
		DeadlineMilliseconds: int(s.Deadline.Milliseconds()), TailBudgetMilliseconds: int(s.TailBudget.Milliseconds()),
	}}
	for _, b := range s.backEnds {
		wanted.BackEnds = append(wanted.BackEnds, catalog.BackEnd{
			Address: b.model.Address, Zone: b.zone, Region: w.zoneOf(b.zone).Region, Slots: s.Slots, Connections: s.Connections,
		})
	}
	return wanted
}

// Change plans an intent at a node and immediately confirms the plan there.
func (w *World) Change(n *simNode, wanted intent.Intent, operation string) {
	if n == nil || n.frozen || n.dead {
		return
	}
	plan, err := n.engine.Plan(wanted, 0)
	if err != nil {
		return
	}
	w.confirm(n, &change{operation: operation, service: wanted.Service, base: plan.BaseVersion, intent: wanted})
}

func (w *World) confirm(n *simNode, c *change) {
	w.Checker.changeSent(c)
	caller := w.addCall(&call{node: n, change: c})
	w.step(n, func() engine.Output {
		return n.engine.Confirm(w.now, caller, engine.ConfirmRequest{Intent: c.intent, BaseVersion: c.base, Operation: c.operation})
	})
}

// answerCallers passes a node's answers to the checker. A confirmation with an unknown outcome is sent again up to 30 times.
func (w *World) answerCallers(n *simNode, output engine.Output) {
	for _, answer := range output.SearchAnswers {
		c := w.takeCall(n, answer.Caller)
		w.record("answer", n.address, answer.Caller, answer.Coverage.Answered, answer.Failure != nil)
		w.Checker.searchAnswered(c, answer)
		if w.OnSearchAnswered != nil {
			w.OnSearchAnswered(SearchOutcome{
				StartedAt: c.startedAt, Elapsed: w.now - c.startedAt + w.options.Distances.Client,
				Coverage: answer.Coverage, Failure: answer.Failure, Attempts: answer.ShardAttempts,
			})
		}
	}
	for _, answer := range output.ExecuteAnswers {
		w.Checker.executeAnswered(w.takeCall(n, answer.Caller), answer)
	}
	for _, answer := range output.ConfirmAnswers {
		c := w.takeCall(n, answer.Caller)
		w.record("confirm", c.change.operation, answer.Version, answer.Failure != nil)
		w.Checker.changeAnswered(c.change, answer)
		if answer.Failure != nil && answer.Failure.Code == failure.OutcomeUnknown && c.change.resends < 30 {
			c.change.resends++
			w.schedule(time.Second, func() {
				if again := w.liveNode(); again != nil {
					w.confirm(again, c.change)
				}
			})
		}
	}
}

func (w *World) takeCall(n *simNode, caller engine.Caller) *call {
	c := w.callers[caller]
	if c == nil || c.node != n {
		panic(fmt.Sprintf("simulation: node %s answered caller %d, which is not waiting for it", n.address, caller))
	}
	delete(w.callers, caller)
	return c
}

// toAnswer converts the answer to a search into the form that standin.Index.Check takes.
func toAnswer(body string, answer engine.SearchAnswer) standin.Answer {
	result := standin.Answer{Query: []byte(body), Snapshot: answer.Snapshot, Coverage: answer.Coverage}
	for _, shard := range answer.Documents {
		result.Documents = slices.Concat(result.Documents, shard.Documents)
	}
	return result
}
