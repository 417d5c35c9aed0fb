package history_test

import (
	"testing"

	"stiletrail/internal/history"
)

// TestOrder checks that revisions are ordered by era first and by number second, and that InferEra begins a new era
// only for a number below the known one.
func TestOrder(t *testing.T) {
	ordered := []history.Revision{{}, history.At(0, 9), history.At(1, 3), history.At(1, 68), history.At(2, 65), history.At(2, 66), history.At(3, 0)}
	for i, a := range ordered {
		for j, b := range ordered {
			if a.After(b) != (i > j) || a.Before(b) != (i < j) || (a.Compare(b) == 0) != (i == j) {
				t.Errorf("%v and %v are compared in the wrong order", a, b)
			}
			if want := ordered[max(i, j)]; history.Latest(a, b) != want {
				t.Errorf("the later of %v and %v is %v, want the one of higher era or number", a, b, history.Latest(a, b))
			}
		}
	}
	if known := history.At(2, 65); known.InferEra(65) != known || known.InferEra(66) != history.At(2, 66) || known.InferEra(64) != history.At(3, 64) {
		t.Error("InferEra must begin a new era only for a number below the known one")
	}
	if !ordered[0].Unknown() || ordered[1].Unknown() {
		t.Error("Unknown must be true only for the zero revision")
	}
}
