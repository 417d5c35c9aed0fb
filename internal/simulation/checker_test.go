package simulation

import (
	"fmt"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// Bounds that the checker enforces.
const (
	// drainBound is how long after the start of its drain a back end may still get new work.
	drainBound = 6 * time.Second
	// InForceBound is the time within which an accepted change must be in force on every reachable node.
	InForceBound = 10 * time.Second
)

// acceptedChange is a change whose confirmation was answered as accepted.
type acceptedChange struct {
	service string
	version uint64
	at      time.Duration
}

// Checker observes the simulation from outside the nodes and collects violations of the invariants.
type Checker struct {
	world *World
	// Violations in the order in which they were found.
	Violations []string

	// runCounts counts, for each request body, how often it took a slot at a back end. refusedAsNotRun holds the bodies that
	// were refused as not run.
	runCounts       map[string]int
	refusedAsNotRun map[string]bool
	executions      map[string]*execution
	accepted        []acceptedChange
	// These hold operations of changes by their answer: acceptedOperations with the version, rejectedOperations with the failure's code.
	// writtenOperations are in the store. baseWinners holds the operation that was written on each base ("service/version").
	acceptedOperations map[string]uint64
	rejectedOperations map[string]failure.Code
	writtenOperations  map[string]bool
	baseWinners        map[string]string
	// PlannedStopsOnly says that the run has no faults other than planned stops, so that no shard may be missing.
	PlannedStopsOnly bool

	Searches, Complete, Partial, Refusals, Failures int
	Executions, Unknown, Accepted, Conflicts        int
	// UninformedSends counts requests to a draining back end from nodes that had no signal of the drain.
	UninformedSends int
	// Reasons counts missing shards by reason.
	Reasons map[query.Reason]int
}

func newChecker(w *World) *Checker {
	return &Checker{
		world: w, runCounts: map[string]int{}, refusedAsNotRun: map[string]bool{}, executions: map[string]*execution{},
		acceptedOperations: map[string]uint64{}, rejectedOperations: map[string]failure.Code{},
		Reasons: map[query.Reason]int{}, writtenOperations: map[string]bool{}, baseWinners: map[string]string{},
	}
}

func (c *Checker) violation(format string, values ...any) {
	text := fmt.Sprintf("%s: ", c.world.now) + fmt.Sprintf(format, values...)
	c.world.record("violation", text)
	c.Violations = append(c.Violations, text)
}

// requestArrived checks each request that arrives at a back end. works says that it takes a slot and runs.
func (c *Checker) requestArrived(a *simAttempt, works bool) {
	b := a.backEnd
	if b.drainedAt > 0 && c.world.now-b.drainedAt > drainBound {
		c.workWhileDraining(a)
	}
	if !works {
		return
	}
	body := string(a.Body)
	c.runCounts[body]++
	if c.refusedAsNotRun[body] {
		c.violation("request %s ran after it was refused as not run", body)
	}
	if a.Execute && c.runCounts[body] > 1 {
		c.violation("request %s ran %d times, want once at most", body, c.runCounts[body])
	}
}

// workWhileDraining checks a request to a back end that started to drain more than drainBound ago. A node has no signal of the
// drain but the refusal itself if it could not read the machine list since, and the back end's description is wrong or could not
// be read. The first request of such a node is counted and is no violation.
func (c *Checker) workWhileDraining(a *simAttempt) {
	b := a.backEnd
	unheard := b.model.ReportedState != query.StateUnknown || a.node.describedAt[b.model.Address] < b.drainedAt
	blind := unheard && a.node.machinesAt < b.drainedAt+c.world.options.MachineListLag
	told := a.node.drainRefusedAt[b.model.Address] > b.drainedAt
	if blind && !told {
		c.UninformedSends++
		return
	}
	c.violation("back end %s got a request from node %s %s after it started to drain", b.model.Address, a.node.address, c.world.now-b.drainedAt)
}

// searchRefused checks a search that was refused as not run.
func (c *Checker) searchRefused(body string) {
	if c.runCounts[body] > 0 {
		c.violation("request %s was refused as not run, but had run", body)
	}
	c.refusedAsNotRun[body] = true
}

// searchAnswered checks each answer to a search.
func (c *Checker) searchAnswered(call *call, answer engine.SearchAnswer) {
	c.Searches++
	if answer.Failure != nil {
		c.searchFailed(call, answer)
		return
	}
	if fault := call.service.index.Check(toAnswer(call.body, answer), call.service.totals); fault != standin.FaultNone {
		c.violation("search %s of %s: %s", call.body, call.service.Name, fault)
	}
	if answer.Snapshot.Version > call.service.version {
		c.violation("search %s is at version %d, which does not exist", call.body, answer.Snapshot.Version)
	}
	if share := answer.Coverage.Ratio(); share < call.service.MinimumCoverage {
		c.violation("search %s was answered with coverage %.3f, which is below the minimum", call.body, share)
	}
	if answer.Coverage.Complete() {
		c.Complete++
		return
	}
	c.Partial++
	for _, missing := range answer.Coverage.Missing {
		c.Reasons[missing.Reason]++
		if missing.Reason == query.ReasonNone {
			c.violation("search %s: shard %d is missing without a reason", call.body, missing.Shard)
		}
	}
	if c.PlannedStopsOnly {
		c.violation("search %s at %s lost coverage to a planned stop: %v", call.body, call.node.address, answer.Coverage.Missing)
	}
}

func (c *Checker) searchFailed(call *call, answer engine.SearchAnswer) {
	if answer.Failure.NotRun {
		c.Refusals++
		c.searchRefused(call.body)
	} else {
		c.Failures++
	}
	if c.PlannedStopsOnly && answer.Failure.Code != failure.Leaving {
		c.violation("search %s at %s failed during a planned stop: %s", call.body, call.node.address, answer.Failure.Error())
	}
}

// executeAnswered checks each answer to a request that is not repeatable.
func (c *Checker) executeAnswered(call *call, answer engine.ExecuteAnswer) {
	c.Executions++
	x := call.execute
	x.open--
	problem := answer.Outcome.Failure
	switch {
	case problem == nil:
		if c.runCounts[x.body] != 1 {
			c.violation("request %s was reported as done, but ran %d times", x.body, c.runCounts[x.body])
		}
		if string(answer.Outcome.Result) != x.body {
			c.violation("request %s got the result of request %s", x.body, answer.Outcome.Result)
		}
	case problem.NotRun:
		if c.runCounts[x.body] > 0 {
			c.violation("request %s was refused as not run, but had run", x.body)
		}
		// Without another open send, the request must not run until the caller sends it again.
		if x.open == 0 {
			c.refusedAsNotRun[x.body] = true
		}
	case problem.Code == failure.OutcomeUnknown:
		c.Unknown++
		// A resend may have an unknown outcome, since the node that minted the ticket may have stopped. A first send may not.
		if c.PlannedStopsOnly && x.sends == 1 {
			c.violation("request %s has an unknown outcome during a planned stop", x.body)
		}
	}
}

// documentWritten checks each document that was written to the store.
func (c *Checker) documentWritten(document catalog.Document) {
	operation := document.Operations[len(document.Operations)-1]
	c.writtenOperations[operation] = true
	if code, denied := c.rejectedOperations[operation]; denied {
		c.violation("operation %s took effect after it was answered with %s", operation, code)
	}
	base := fmt.Sprintf("%s/%d", document.Service, document.Version-1)
	if winner, taken := c.baseWinners[base]; taken && winner != operation {
		c.violation("operations %s and %s both won on base %s", winner, operation, base)
	}
	c.baseWinners[base] = operation
}

func (c *Checker) changeSent(sent *change) {
	// Only changes with an unknown outcome are sent again. A rejection is final.
	if _, denied := c.rejectedOperations[sent.operation]; denied {
		c.violation("operation %s was sent again after its final answer", sent.operation)
	}
}

// changeAnswered checks each answer to a confirmation.
func (c *Checker) changeAnswered(sent *change, answer engine.ConfirmAnswer) {
	problem := answer.Failure
	switch {
	case problem == nil:
		c.Accepted++
		if !c.writtenOperations[sent.operation] {
			c.violation("operation %s was accepted, but is not in the store", sent.operation)
		}
		c.acceptedOperations[sent.operation] = answer.Version
		c.accepted = append(c.accepted, acceptedChange{service: sent.service, version: answer.Version, at: c.world.now})
	case problem.NotRun && sent.resends == 0:
		if problem.Code == failure.Conflict {
			c.Conflicts++
		}
		if c.writtenOperations[sent.operation] {
			c.violation("operation %s was answered with %s, but took effect", sent.operation, problem.Code)
		}
		c.rejectedOperations[sent.operation] = problem.Code
	}
}

// nodeStepped checks a node after each of its steps: no version in force may be replaced by an earlier one.
func (c *Checker) nodeStepped(n *simNode) {
	for _, change := range c.accepted {
		version := n.engine.Catalog().Version(change.service)
		if version < n.highestVersions[change.service] {
			c.violation("node %s reverted from version %d to %d of %s", n.address, n.highestVersions[change.service], version, change.service)
		}
		n.highestVersions[change.service] = version
	}
}

func (c *Checker) nodeKilled(n *simNode) {
	// Requests in flight at the node get no answer: their callers see a closed connection.
	for _, caller := range sortedNumbers(c.world.callers) {
		call := c.world.callers[caller]
		if call.node != n {
			continue
		}
		if call.execute != nil {
			call.execute.open--
		}
		delete(c.world.callers, caller)
	}
}

// nodeStopped checks the end of a planned stop: no request may be in flight at the node.
func (c *Checker) nodeStopped(n *simNode, late bool) {
	if late {
		c.violation("node %s was not drained in time", n.address)
	}
	for _, caller := range sortedNumbers(c.world.callers) {
		if call := c.world.callers[caller]; call.node == n && call.arrived {
			c.violation("node %s stopped with caller %d unanswered", n.address, caller)
		}
	}
}

// InForce checks that every change accepted more than InForceBound ago is in force on all nodes. It may be called only when all
// nodes have been able to reach each other for at least that time.
func (c *Checker) InForce() {
	for _, change := range c.accepted {
		if c.world.now-change.at < InForceBound {
			continue
		}
		for _, address := range c.world.live {
			n := c.world.nodes[address]
			if version := n.engine.Catalog().Version(change.service); version < change.version && !n.frozen {
				c.violation("version %d of %s, accepted at %s, is not in force on %s", change.version, change.service, change.at, address)
			}
		}
	}
}

// Unanswered checks that no request has been waiting for an answer for longer than the bound.
func (c *Checker) Unanswered(bound time.Duration) {
	for _, caller := range sortedNumbers(c.world.callers) {
		call := c.world.callers[caller]
		if !call.node.frozen && c.world.now-call.startedAt > bound {
			c.violation("caller %d at %s has no answer since %s", caller, call.node.address, call.startedAt)
		}
	}
}
