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

// Bounds the checker holds the system to.
const (
	// drainBound is how long after it started to leave a back end may still be sent new work.
	drainBound = 6 * time.Second
	// InForceBound is how soon an accepted change is in force on every node that can be reached.
	InForceBound = 10 * time.Second
)

// acceptedChange is a change that an operator was told is accepted.
type acceptedChange struct {
	service string
	version uint64
	at      time.Duration
}

// Checker looks at everything that happens from outside the nodes and collects what must not be.
type Checker struct {
	world *World
	// Violations in the order they were found.
	Violations []string

	// runCounts holds the bodies that took a slot at a back end; refused those reported as not run.
	runCounts        map[string]int
	refusedAsNotRun    map[string]bool
	executions map[string]*execution
	accepted   []acceptedChange
	// operations of changes by what operators were told of them.
	acceptedOperations map[string]uint64
	rejectedOperations   map[string]failure.Code
	writtenOperations  map[string]bool
	baseWinners        map[string]string
	// PlannedStopsOnly: nothing but planned stops goes on, so nothing may be missing.
	PlannedStopsOnly bool

	Searches, Complete, Partial, Refusals, Failures int
	Executions, Unknown, Accepted, Conflicts        int
	// UninformedSends counts work sent to a leaving back end by a node that had no way to know.
	UninformedSends int
	// Reasons counts the missing shards by reason.
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

// requestArrived sees each request at a back end.
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
		c.violation("%s ran after it was refused as not run", body)
	}
	if a.Execute && c.runCounts[body] > 1 {
		c.violation("%s ran %d times", body, c.runCounts[body])
	}
}

// workWhileDraining sees work at a back end that left some time ago. A node that could not read the machine list since, while the
// back end's health lies or cannot be reached, has no signal but the refusal itself; such first tries are counted and not
// held against it.
func (c *Checker) workWhileDraining(a *simAttempt) {
	b := a.backEnd
	unheard := b.model.ReportedState != query.StateUnknown || a.node.describedAt[b.model.Address] < b.drainedAt
	blind := unheard && a.node.machinesAt < b.drainedAt+c.world.options.MachineListLag
	told := a.node.drainRefusedAt[b.model.Address] > b.drainedAt
	if blind && !told {
		c.UninformedSends++
		return
	}
	c.violation("back end %s got work from %s %s after it started to leave", b.model.Address, a.node.address, c.world.now-b.drainedAt)
}

// searchRefused sees a refusal as not run.
func (c *Checker) searchRefused(body string) {
	if c.runCounts[body] > 0 {
		c.violation("%s was refused as not run, and ran", body)
	}
	c.refusedAsNotRun[body] = true
}

// searchAnswered sees each answer to a search.
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
		c.violation("search %s was answered with coverage %.3f", call.body, share)
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

// executeAnswered sees each answer to a request that is not repeatable.
func (c *Checker) executeAnswered(call *call, answer engine.ExecuteAnswer) {
	c.Executions++
	x := call.execute
	x.open--
	problem := answer.Outcome.Failure
	switch {
	case problem == nil:
		if c.runCounts[x.body] != 1 {
			c.violation("%s was reported as done, and ran %d times", x.body, c.runCounts[x.body])
		}
		if string(answer.Outcome.Result) != x.body {
			c.violation("%s got the result of %s", x.body, answer.Outcome.Result)
		}
	case problem.NotRun:
		if c.runCounts[x.body] > 0 {
			c.violation("%s was refused as not run, and ran", x.body)
		}
		// Final until the caller sends it again, if no other send of it is open.
		if x.open == 0 {
			c.refusedAsNotRun[x.body] = true
		}
	case problem.Code == failure.OutcomeUnknown:
		c.Unknown++
		// A resend may come when the node that minted the ticket is gone; a first send may not.
		if c.PlannedStopsOnly && x.sends == 1 {
			c.violation("%s has an unknown outcome during a planned stop", x.body)
		}
	}
}

// documentWritten sees each document that the store took.
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
	// A resend settles what was unknown; a denial of an earlier send would be final.
	if _, denied := c.rejectedOperations[sent.operation]; denied {
		c.violation("operation %s was sent again after its final answer", sent.operation)
	}
}

// changeAnswered sees each answer to an operator.
func (c *Checker) changeAnswered(sent *change, answer engine.ConfirmAnswer) {
	problem := answer.Failure
	switch {
	case problem == nil:
		c.Accepted++
		if !c.writtenOperations[sent.operation] {
			c.violation("operation %s was accepted, and is not in the store", sent.operation)
		}
		c.acceptedOperations[sent.operation] = answer.Version
		c.accepted = append(c.accepted, acceptedChange{service: sent.service, version: answer.Version, at: c.world.now})
	case problem.NotRun && sent.resends == 0:
		if problem.Code == failure.Conflict {
			c.Conflicts++
		}
		if c.writtenOperations[sent.operation] {
			c.violation("operation %s was answered with %s, and took effect", sent.operation, problem.Code)
		}
		c.rejectedOperations[sent.operation] = problem.Code
	}
}

// nodeStepped sees each nodeStepped after each of its steps: what is in force never reverts.
func (c *Checker) nodeStepped(n *simNode) {
	for _, change := range c.accepted {
		version := n.engine.Catalog().Version(change.service)
		if version < n.highestVersions[change.service] {
			c.violation("node %s went back from version %d to %d of %s", n.address, n.highestVersions[change.service], version, change.service)
		}
		n.highestVersions[change.service] = version
	}
}

func (c *Checker) nodeKilled(n *simNode) {
	// What the node was asked gets no answer; callers see a broken connection.
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

// nodeStopped sees the end of a planned stop: nothing may be under way.
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

// InForce checks that every accepted change older than the bound is in force on all nodes; call it when all of them can
// reach each other and have for a while.
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

// Unanswered checks that no request is older than the bound without an answer.
func (c *Checker) Unanswered(bound time.Duration) {
	for _, caller := range sortedNumbers(c.world.callers) {
		call := c.world.callers[caller]
		if !call.node.frozen && c.world.now-call.startedAt > bound {
			c.violation("caller %d at %s has no answer since %s", caller, call.node.address, call.startedAt)
		}
	}
}
