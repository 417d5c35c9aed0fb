package forward

import (
	"fmt"
	"testing"
)

// TestStateTransitions checks each pair of states against the table of the package comment.
func TestStateTransitions(t *testing.T) {
	all := []state{unasked{}, waitingForCapacity{}, inFlight{}, paused{}, held{}, answered{}, failed{}}
	rows := []struct {
		from state
		next []state
	}{
		{unasked{}, []state{inFlight{}, waitingForCapacity{}, held{}, failed{}}},
		{waitingForCapacity{}, []state{inFlight{}, waitingForCapacity{}, held{}, failed{}}},
		{inFlight{}, []state{inFlight{}, paused{}, held{}, answered{}, failed{}}},
		{paused{}, []state{inFlight{}, paused{}, held{}, failed{}}},
		{held{}, []state{inFlight{}, waitingForCapacity{}, paused{}, failed{}}},
		{answered{}, nil},
		{failed{}, []state{failed{}}},
	}
	for _, row := range rows {
		allowed := map[string]bool{}
		for _, next := range row.next {
			allowed[fmt.Sprintf("%T", next)] = true
		}
		for _, next := range all {
			if got, want := validTransition(row.from, next), allowed[fmt.Sprintf("%T", next)]; got != want {
				t.Errorf("transition from %T to %T allowed: got %v, want %v", row.from, next, got, want)
			}
		}
	}
}

// TestInvalidTransitionPanics checks that a shard that was answered cannot be asked again.
func TestInvalidTransitionPanics(t *testing.T) {
	s := shard{state: answered{&Response{}}}
	defer func() {
		if recover() == nil || s.response() == nil {
			t.Error("an answered shard could be asked again")
		}
	}()
	s.setState(inFlight{attempts: 1})
}
