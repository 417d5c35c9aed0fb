package catalog

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/failure"
)

// Delta is what changed in a document from one version to a later one. A document of many back ends takes over a hundred
// kilobytes and a change of one back end a few hundred bytes, so pushes carry deltas.
type Delta struct {
	Service string `json:"service"`
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
	// Operations are those of the document that results.
	Operations []string `json:"operations"`
	Deleted    bool     `json:"deleted,omitempty"`
	// Set back ends are added or replace those of the same address; Removed ones go.
	Set     []BackEnd `json:"set,omitempty"`
	Removed []string  `json:"removed,omitempty"`
	// Specification without back ends.
	Specification Specification `json:"specification"`
	// Hash of the encoded document that must result.
	Hash uint64 `json:"hash"`
}

// Diff returns the delta between two versions of a service's document; false where the order of the back ends changed, so
// that only the whole document will do.
func Diff(from, to Document) (Delta, bool) {
	delta := Delta{
		Service: to.Service, From: from.Version, To: to.Version, Operations: to.Operations, Deleted: to.Deleted,
		Specification: to.Specification, Hash: xxhash.Sum64(to.Encode()),
	}
	delta.Specification.BackEnds = nil
	before := make(map[string]BackEnd, len(from.Specification.BackEnds))
	for _, backEnd := range from.Specification.BackEnds {
		before[backEnd.Address] = backEnd
	}
	for _, backEnd := range to.Specification.BackEnds {
		old, existed := before[backEnd.Address]
		if !existed || old != backEnd {
			delta.Set = append(delta.Set, backEnd)
		}
		delete(before, backEnd.Address)
	}
	for _, backEnd := range from.Specification.BackEnds {
		if _, gone := before[backEnd.Address]; gone {
			delta.Removed = append(delta.Removed, backEnd.Address)
		}
	}
	_, err := delta.Apply(from)
	return delta, err == nil
}

// Apply returns the document that the delta makes of an earlier one. It is checked by its hash: a receiver never takes a
// document into force that differs from the one that was accepted. Errors are of code MALFORMED.
func (d Delta) Apply(from Document) (Document, error) {
	if from.Service != d.Service || from.Version != d.From {
		return Document{}, failure.New(failure.Malformed, "the delta is for another version")
	}
	result := Document{
		Service: d.Service, Version: d.To, Deleted: d.Deleted, Operations: d.Operations, Specification: d.Specification,
	}
	replaced := make(map[string]BackEnd, len(d.Set))
	for _, backEnd := range d.Set {
		replaced[backEnd.Address] = backEnd
	}
	removed := make(map[string]bool, len(d.Removed))
	for _, address := range d.Removed {
		removed[address] = true
	}
	for _, backEnd := range from.Specification.BackEnds {
		if removed[backEnd.Address] {
			continue
		}
		if changed, found := replaced[backEnd.Address]; found {
			backEnd = changed
			delete(replaced, backEnd.Address)
		}
		result.Specification.BackEnds = append(result.Specification.BackEnds, backEnd)
	}
	for _, backEnd := range d.Set {
		if _, added := replaced[backEnd.Address]; added {
			result.Specification.BackEnds = append(result.Specification.BackEnds, backEnd)
		}
	}
	if xxhash.Sum64(result.Encode()) != d.Hash {
		return Document{}, failure.New(failure.Malformed, "the delta does not give the document it is of")
	}
	return result, nil
}

// Encode returns the delta's form between nodes.
func (d Delta) Encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic("catalog: delta cannot be encoded: " + err.Error())
	}
	return encoded
}

// DecodeDelta reads a delta. Errors are of code MALFORMED.
func DecodeDelta(encoded []byte) (Delta, error) {
	var delta Delta
	if err := json.Unmarshal(encoded, &delta); err != nil {
		return delta, failure.Wrap(err, failure.Malformed, "delta cannot be decoded")
	}
	if delta.Service == "" || delta.To <= delta.From {
		return delta, failure.New(failure.Malformed, "delta has no service or does not go forward")
	}
	return delta, nil
}
