package forward

import (
	"fmt"
	"testing"
)

// TestWhichStateMayFollow: the table of the package comment, each pair of states.
func TestWhichStateMayFollow(t *testing.T) {
	all := []state{unasked{}, waiting{}, underWay{}, paused{}, held{}, answered{}, failed{}}
	rows := []struct {
		from state
		next []state
	}{
		{unasked{}, []state{underWay{}, waiting{}, held{}, failed{}}},
		{waiting{}, []state{underWay{}, waiting{}, held{}, failed{}}},
		{underWay{}, []state{underWay{}, paused{}, held{}, answered{}, failed{}}},
		{paused{}, []state{underWay{}, paused{}, held{}, failed{}}},
		{held{}, []state{underWay{}, waiting{}, paused{}, failed{}}},
		{answered{}, nil},
		{failed{}, []state{failed{}}},
	}
	for _, row := range rows {
		allowed := map[string]bool{}
		for _, next := range row.next {
			allowed[fmt.Sprintf("%T", next)] = true
		}
		for _, next := range all {
			if got, want := mayFollow(row.from, next), allowed[fmt.Sprintf("%T", next)]; got != want {
				t.Errorf("from %T to %T: %v, want %v", row.from, next, got, want)
			}
		}
	}
}

// TestStateThatMayNotFollow: a shard keeps to the table.
func TestStateThatMayNotFollow(t *testing.T) {
	s := shard{state: answered{&Response{}}}
	defer func() {
		if recover() == nil || s.response() == nil {
			t.Error("an answered shard is asked again")
		}
	}()
	s.become(underWay{attempts: 1})
}
