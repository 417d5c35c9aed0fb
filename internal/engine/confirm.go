package engine

import (
	"fmt"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/intent"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
	"stiletrail/internal/platform"
	"stiletrail/internal/rollout"
)

// copiesWanted is the number of peers to which a document is sent before it is reported as accepted.
const copiesWanted = 3

// pendingRollout is a confirmation in progress.
type pendingRollout struct {
	caller  Caller
	rollout *rollout.Rollout
}

// Plan returns what confirming an intent would change. It changes nothing itself.
func (e *Engine) Plan(wanted intent.Intent, expiresUnixSeconds int64) (intent.Plan, error) {
	if !e.serving() {
		return intent.Plan{}, notReady("the node has not finished loading the configuration and joining the other nodes")
	}
	base, _ := e.catalog.Get(wanted.Service)
	return intent.NewPlan(wanted, base, expiresUnixSeconds), nil
}

// ConfirmRequest is an operator's confirmation of a plan. The caller has checked the plan with intent.CheckConfirmation.
type ConfirmRequest struct {
	Intent      intent.Intent
	BaseVersion uint64
	// Operation is an id that the operator chooses. The same request may be sent again with it to resolve an unknown
	// outcome.
	Operation string
}

// Confirm starts to apply a plan. The answer comes in a later Output, or in this one.
func (e *Engine) Confirm(now time.Duration, caller Caller, request ConfirmRequest) Output {
	e.beginCall(now)
	service := request.Intent.Service
	if !e.Ready() {
		e.answerConfirm(caller, service, rollout.Result{Failure: notReady("the node is not ready or is stopping, and accepts no changes")})
		return e.endCall()
	}
	held := func() catalog.Document {
		document, _ := e.catalog.Get(service)
		return document
	}
	started, first := rollout.New(now, rollout.Change{
		Service: service, Operation: request.Operation, BaseVersion: request.BaseVersion,
		Specification: request.Intent.Specification, Delete: request.Intent.Delete,
	}, held)
	operation := e.nextNumber()
	e.rollouts[operation] = &pendingRollout{caller: caller, rollout: started}
	e.performRollout(operation, first)
	return e.endCall()
}

// performRollout carries out the next step that a rollout has requested.
func (e *Engine) performRollout(operation uint64, request rollout.Request) {
	run := e.rollouts[operation]
	switch request := request.(type) {
	case nil:
	case rollout.Read:
		e.output.StoreReads = append(e.output.StoreReads, StoreRead{Operation: operation, Service: run.rollout.Service()})
	case rollout.Write:
		write := StoreWrite{Operation: operation, Base: request.BaseStamp, Document: request.Document}
		e.output.StoreWrites = append(e.output.StoreWrites, write)
	case rollout.Replicate:
		e.adopt(operation, request.Document)
	case rollout.Result:
		delete(e.rollouts, operation)
		e.answerConfirm(run.caller, run.rollout.Service(), request)
	default:
		panic(fmt.Sprintf("engine: unhandled type of a rollout's request: %T", request))
	}
}

// answerConfirm adds the outcome of a confirmation to the output.
func (e *Engine) answerConfirm(caller Caller, service string, result rollout.Result) {
	e.output.ConfirmAnswers = append(e.output.ConfirmAnswers, ConfirmAnswer{Caller: caller, Service: service, Result: result})
}

// adopt puts an accepted document into force on this node and sends it to peers in this and in other zones.
func (e *Engine) adopt(operation uint64, document catalog.Document) {
	e.merge(document)
	peers := e.pickCopyHolders()
	for _, peer := range peers {
		rumor := e.gossip.Rumor(document.Service)
		rumor.Operation = operation
		e.send(peer, rumor)
	}
	e.performRollout(operation, e.rollouts[operation].rollout.SentToPeers(len(peers)))
}

// pickCopyHolders picks copiesWanted live peers: one in this node's zone, if there is one, and the others in other
// zones.
func (e *Engine) pickCopyHolders() []string {
	zone := e.members.Self().Zone
	sameZone := func(m membership.Member) bool { return m.State == membership.Alive && m.Zone == zone }
	otherZone := func(m membership.Member) bool { return m.State == membership.Alive && m.Zone != zone }
	peers := e.members.Pick(1, sameZone)
	return append(peers, e.members.Pick(copiesWanted-len(peers), otherZone)...)
}

// receiveCatalogAck handles a peer's acknowledgement that it holds the document of a rollout.
func (e *Engine) receiveCatalogAck(from string, m *message.CatalogAck) {
	run := e.rollouts[m.Operation]
	if run == nil {
		return
	}
	member, _ := e.members.Lookup(from)
	e.performRollout(m.Operation, run.rollout.Acknowledged(from, member.Zone))
}

// tickRollouts advances the rollouts that wait for time to pass.
func (e *Engine) tickRollouts() {
	for _, operation := range sortedKeys(e.rollouts) {
		if run := e.rollouts[operation]; run != nil {
			e.performRollout(operation, run.rollout.Tick(e.now))
		}
	}
}

// StoreReadDone handles the answer to a StoreRead.
func (e *Engine) StoreReadDone(now time.Duration, operation uint64, outcome rollout.Outcome, entry platform.Entry) Output {
	e.beginCall(now)
	stored, err := storedDocument(entry)
	if err != nil {
		outcome = rollout.Refused
	}
	if run := e.rollouts[operation]; run != nil {
		e.performRollout(operation, run.rollout.ReadDone(now, outcome, entry.Stamp, stored))
	} else if e.store.pending[operation] {
		e.listedEntryRead(operation, outcome, entry, stored)
	}
	return e.endCall()
}

// storedDocument decodes the document of an entry. An absent entry gives the zero document.
func storedDocument(entry platform.Entry) (catalog.Document, error) {
	if entry.Version == 0 {
		return catalog.Document{}, nil
	}
	return catalog.Decode(entry.Value)
}

// StoreWriteDone handles the answer to a StoreWrite.
func (e *Engine) StoreWriteDone(now time.Duration, operation uint64, outcome rollout.Outcome, swapped bool) Output {
	e.beginCall(now)
	if run := e.rollouts[operation]; run != nil {
		e.performRollout(operation, run.rollout.WriteDone(now, outcome, swapped))
	}
	return e.endCall()
}
