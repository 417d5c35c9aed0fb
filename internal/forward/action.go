package forward

// Action is something that the driver of a request must do: Send, Cancel or Finish.
type Action interface{ isAction() }

// Send an attempt to its replica.
type Send struct{ Attempt *Attempt }

// Cancel withdraws an attempt whose answer is of no more use.
type Cancel struct{ Attempt *Attempt }

// Finish gives the caller the answer. It is the last action of a request.
type Finish struct{ Answer Answer }

func (Send) isAction()   {}
func (Cancel) isAction() {}
func (Finish) isAction() {}

func (r *Request) takeActions() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}
