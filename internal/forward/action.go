package forward

// Action is something that the driver of a request must do: StartAttempt, CancelAttempt, AwaitCapacity, EndWait or
// Finish.
type Action interface{ isAction() }

// StartAttempt sends an attempt to its replica. The driver passes its outcome to HandleOutcome.
type StartAttempt struct{ Attempt *Attempt }

// CancelAttempt cancels an attempt whose answer is no longer needed.
type CancelAttempt struct{ Attempt *Attempt }

// AwaitCapacity says that a shard waits for capacity of the back ends of a service. The driver calls CapacityFreed when it
// is the shard's turn. It is used only with Parameters.Prioritized; otherwise the request polls.
type AwaitCapacity struct {
	Shard   int
	Service string
}

// EndWait says that a shard does not wait any more. It is left out for the shards that wait when the request ends.
type EndWait struct{ Shard int }

// Finish gives the caller the answer. It is the last action of a request.
type Finish struct{ Answer Answer }

func (StartAttempt) isAction()  {}
func (CancelAttempt) isAction() {}
func (AwaitCapacity) isAction() {}
func (EndWait) isAction()       {}
func (Finish) isAction()        {}

func (r *Request) takeActions() []Action {
	r.endWaits()
	actions := r.actions
	r.actions = nil
	return actions
}
