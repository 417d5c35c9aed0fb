package catalog

import (
	"reflect"
	"testing"
)

// TestStoredDocuments checks that the encoding of documents does not change. Documents that an earlier release stored
// must stay readable, and the hash that verifies a delta is computed over this encoding.
func TestStoredDocuments(t *testing.T) {
	for stored, want := range map[string]Document{storedDocument: exampleDocument(), storedDeletion: exampleDeletion()} {
		if got := string(want.Encode()); got != stored {
			t.Errorf("encoded as %s, want %s", got, stored)
		}
		got, err := Decode([]byte(stored))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("decoded as %+v, error %v, want %+v", got, err, want)
		}
	}
}

// TestSentDelta checks that the encoding of deltas and the hash of a catalog do not change. Nodes of different releases
// exchange deltas and compare their catalogs by this hash.
func TestSentDelta(t *testing.T) {
	from := exampleDocument()
	to := from.Next(0, "op-3", Specification{
		BackEnds: []BackEnd{
			{Address: "10.0.0.1:80", Zone: "a", Region: "north", Slots: 4, Connections: 8},
			{Address: "10.0.0.3:80", Zone: "c", Region: "north", Slots: 1, Connections: 2},
		},
		MinimumCoverage: 0.5, Preference: LatencyFirst, DeadlineMilliseconds: 100, TailBudgetMilliseconds: 50,
	}, false)
	delta, ok := Diff(from, to)
	if got := string(delta.Encode()); !ok || got != sentDelta {
		t.Errorf("encoded as %s, want %s", got, sentDelta)
	}
	read, err := DecodeDelta([]byte(sentDelta))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := read.Apply(from); err != nil || !reflect.DeepEqual(got, to) {
		t.Errorf("the delta gives %+v, error %v, want %+v", got, err, to)
	}
	c := New()
	c.Merge(from)
	const hash, bucket = 6600441889122856406, 35
	if c.Hash() != hash || len(c.ServicesInBucket(bucket)) != 1 {
		t.Errorf("hash %d and services %q in bucket 35, want hash 6600441889122856406 and one service",
			c.Hash(), c.ServicesInBucket(bucket))
	}
}

func exampleDocument() Document {
	return Document{
		Service: "lookup", Version: 2_000_000_001, Operations: []string{"op-1", "op-2"},
		Specification: Specification{
			BackEnds: []BackEnd{
				{Address: "10.0.0.1:80", Zone: "a", Region: "north", Slots: 4, Connections: 8},
				{Address: "10.0.0.2:80", Zone: "b", Slots: 2, Connections: 3, Draining: true},
			},
			MinimumCoverage: 0.75, Preference: CoverageFirst, DeadlineMilliseconds: 200, TailBudgetMilliseconds: 40,
		},
	}
}

func exampleDeletion() Document {
	return Document{Service: "lookup", Version: 7, Deleted: true, Operations: []string{"op-1"}}
}

const (
	storedDocument = `{"service":"lookup","version":2000000001,"operations":["op-1","op-2"],"specification":{"back_ends":[` +
		`{"address":"10.0.0.1:80","zone":"a","region":"north","slots":4,"connections":8},` +
		`{"address":"10.0.0.2:80","zone":"b","slots":2,"connections":3,"draining":true}],` +
		`"minimum_coverage":0.75,"preference":"coverage","deadline_milliseconds":200,"tail_budget_milliseconds":40}}`
	storedDeletion = `{"service":"lookup","version":7,"deleted":true,"operations":["op-1"],"specification":{"back_ends":null,` +
		`"minimum_coverage":0,"preference":"","deadline_milliseconds":0}}`
	sentDelta = `{"service":"lookup","from":2000000001,"to":2000000002,"operations":["op-1","op-2","op-3"],` +
		`"set":[{"address":"10.0.0.3:80","zone":"c","region":"north","slots":1,"connections":2}],"removed":["10.0.0.2:80"],` +
		`"specification":{"back_ends":null,"minimum_coverage":0.5,"preference":"latency","deadline_milliseconds":100,` +
		`"tail_budget_milliseconds":50},"hash":3749557126502150259}`
)
