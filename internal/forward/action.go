package forward

// Action is something that the driver of a request must do: StartAttempt, CancelAttempt or Finish.
type Action interface{ isAction() }

// StartAttempt sends an attempt to its replica. The driver passes its outcome to HandleOutcome.
type StartAttempt struct{ Attempt *Attempt }

// CancelAttempt cancels an attempt whose answer is no longer needed.
type CancelAttempt struct{ Attempt *Attempt }

// Finish gives the caller the answer. It is the last action of a request.
type Finish struct{ Answer Answer }

func (StartAttempt) isAction()  {}
func (CancelAttempt) isAction() {}
func (Finish) isAction()        {}

func (r *Request) takeActions() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}
