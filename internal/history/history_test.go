package history_test

import (
	"testing"

	"stiletrail/internal/history"
)

// TestOrder: the era goes before the number.
func TestOrder(t *testing.T) {
	ordered := []history.Revision{{}, history.At(0, 9), history.At(1, 3), history.At(1, 68), history.At(2, 65), history.At(2, 66), history.At(3, 0)}
	for i, a := range ordered {
		for j, b := range ordered {
			if a.After(b) != (i > j) || a.Before(b) != (i < j) || (a.Compare(b) == 0) != (i == j) {
				t.Errorf("%v and %v are in the wrong order", a, b)
			}
			if want := ordered[max(i, j)]; history.Latest(a, b) != want {
				t.Errorf("the latest of %v and %v is %v", a, b, history.Latest(a, b))
			}
		}
	}
	if known := history.At(2, 65); known.InferEra(65) != known || known.InferEra(66) != history.At(2, 66) || known.InferEra(64) != history.At(3, 64) {
		t.Error("an answer without an era is of the next one only where its number is lower")
	}
	if !ordered[0].Unknown() || ordered[1].Unknown() {
		t.Error("only the zero revision stands for knowing nothing")
	}
}
