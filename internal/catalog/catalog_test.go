package catalog

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"stiletrail/internal/failure"
)

func drawDocument(rt *rapid.T, version uint64) Document {
	document := Document{Service: "lookup", Version: version, Operations: []string{fmt.Sprint(version)}, Deleted: rapid.Bool().Draw(rt, "deleted")}
	for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(1, 9), 0, 9, rapid.ID[int]).Draw(rt, "back ends") {
		backEnd := BackEnd{Address: fmt.Sprintf("10.0.0.%d:80", number), Slots: rapid.IntRange(1, 3).Draw(rt, "slots")}
		document.Specification.BackEnds = append(document.Specification.BackEnds, backEnd)
	}
	return document
}

// TestMergeIsAJoin: any order of the same documents, with repeats, gives the same catalog.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var documents []Document
		for range rapid.IntRange(1, 12).Draw(rt, "count") {
			document := Document{Service: rapid.StringMatching("[a-d]").Draw(rt, "service"), Version: rapid.Uint64Range(1, 6).Draw(rt, "version")}
			documents = append(documents, document)
		}
		first, second := New(), New()
		for _, document := range documents {
			first.Merge(document)
		}
		shuffled := rapid.Permutation(append(documents, documents...)).Draw(rt, "order")
		for _, document := range shuffled {
			before := second.Version(document.Service)
			second.Merge(document)
			if second.Version(document.Service) < before {
				rt.Fatal("a version went back")
			}
		}
		if first.Hash() != second.Hash() {
			rt.Error("the catalogs differ")
		}
	})
}

// TestDeltas give exactly the document they were made of, or are not made.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from, to := drawDocument(rt, 1), drawDocument(rt, 2)
		delta, ok := Diff(from, to)
		if !ok {
			return
		}
		decoded, err := DecodeDelta(delta.Encode())
		if err != nil {
			rt.Fatal(err)
		}
		result, err := decoded.Apply(from)
		if err != nil {
			rt.Fatal(err)
		}
		if string(result.Encode()) != string(to.Encode()) {
			rt.Errorf("got %s, want %s", result.Encode(), to.Encode())
		}
	})
}

func TestDeltaIsRefusedOnAnotherDocument(t *testing.T) {
	backEnds := []BackEnd{{Address: "a", Slots: 1}, {Address: "b", Slots: 1}}
	from := Document{Service: "lookup", Version: 1, Specification: Specification{BackEnds: backEnds}}
	to := from.Next(0, "op", Specification{BackEnds: backEnds[:1]}, false)
	delta, _ := Diff(from, to)
	other := from
	other.Specification = Specification{BackEnds: []BackEnd{{Address: "c", Slots: 9}}}
	if _, err := delta.Apply(other); failure.CodeOf(err) != failure.Malformed {
		t.Errorf("error %v", err)
	}
	if _, err := delta.Apply(to); failure.CodeOf(err) != failure.Malformed {
		t.Errorf("error %v", err)
	}
}

func TestOperationsAreKeptForAWhile(t *testing.T) {
	document := Document{Service: "lookup"}
	for i := range 10 {
		document = document.Next(0, fmt.Sprint(i), Specification{}, false)
	}
	if document.HasOperation("1") || !document.HasOperation("2") || document.Version != 10 {
		t.Errorf("operations %v, version %d", document.Operations, document.Version)
	}
}
