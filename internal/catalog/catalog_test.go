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

// TestMergeIsAJoin checks that merging the same documents in any order, with repeats, gives the same catalog, and
// that the version of a service never decreases. Otherwise nodes that receive messages in different orders would not
// converge.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var documents []Document
		for range rapid.IntRange(1, 12).Draw(rt, "count") {
			document := Document{Service: rapid.StringMatching("[a-d]").Draw(rt, "service"), Version: rapid.Uint64Range(1, 6).Draw(rt, "version")}
			documents = append(documents, document)
		}
		inOrder, shuffled := New(), New()
		for _, document := range documents {
			inOrder.Merge(document)
		}
		permutation := rapid.Permutation(append(documents, documents...)).Draw(rt, "order")
		for _, document := range permutation {
			before := shuffled.Version(document.Service)
			shuffled.Merge(document)
			if shuffled.Version(document.Service) < before {
				rt.Fatal("merging a document decreased the version of its service")
			}
		}
		if inOrder.Hash() != shuffled.Hash() {
			rt.Error("the same documents in another order gave a catalog with another hash")
		}
	})
}

// TestDeltaGivesTheNewDocument checks that applying a delta to the old document gives exactly the new one, for all
// pairs of documents that Diff makes a delta of.
func TestDeltaGivesTheNewDocument(t *testing.T) {
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
			rt.Errorf("the delta gives %s, want %s", result.Encode(), to.Encode())
		}
	})
}

// TestDeltaIsRefusedOnAnotherDocument checks that a delta is not applied to a document of the right version with
// other back ends, nor to a document of another version.
func TestDeltaIsRefusedOnAnotherDocument(t *testing.T) {
	backEnds := []BackEnd{{Address: "a", Slots: 1}, {Address: "b", Slots: 1}}
	from := Document{Service: "lookup", Version: 1, Specification: Specification{BackEnds: backEnds}}
	to := from.Next(0, "op", Specification{BackEnds: backEnds[:1]}, false)
	delta, _ := Diff(from, to)
	other := from
	other.Specification = Specification{BackEnds: []BackEnd{{Address: "c", Slots: 9}}}
	if _, err := delta.Apply(other); failure.CodeOf(err) != failure.Malformed {
		t.Errorf("applied to a document with other back ends: error %v, want MALFORMED", err)
	}
	if _, err := delta.Apply(to); failure.CodeOf(err) != failure.Malformed {
		t.Errorf("applied to a document of another version: error %v, want MALFORMED", err)
	}
}

// TestDocumentKeepsLastOperations checks that a document carries the ids of its last 8 operations and no older ones.
func TestDocumentKeepsLastOperations(t *testing.T) {
	document := Document{Service: "lookup"}
	for i := range 10 {
		document = document.Next(0, fmt.Sprint(i), Specification{}, false)
	}
	if document.HasOperation("1") || !document.HasOperation("2") || document.Version != 10 {
		t.Errorf("operations %v, version %d, want the last 8 operations, version 10", document.Operations, document.Version)
	}
}
