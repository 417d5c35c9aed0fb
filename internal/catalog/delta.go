package catalog

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/failure"
)

// Delta is the difference between two versions of a service's document. Nodes push deltas to each other, because a
// document with many back ends takes over a hundred kilobytes and a change of one back end only a few hundred bytes.
type Delta struct {
	Service string `json:"service"`
	// From is the version that the delta applies to, To the version that results.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Operations and Deleted are those of the resulting document.
	Operations []string `json:"operations"`
	Deleted    bool     `json:"deleted,omitempty"`
	// Set has the back ends that are added, and those that replace a back end of the same address.
	Set []BackEnd `json:"set,omitempty"`
	// Removed has the addresses of the back ends that are removed.
	Removed []string `json:"removed,omitempty"`
	// Specification is that of the resulting document, without its back ends.
	Specification Specification `json:"specification"`
	// Hash is the hash of the encoded document that must result.
	Hash uint64 `json:"hash"`
}

// Diff returns the delta from one version of a service's document to another. The second result is false if the order
// of the back ends changed: a delta cannot express that, and the whole document must be sent.
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

// Apply returns the document that results from applying the delta to an earlier document. It compares the hash of the
// result with Hash, so that a receiver never puts a document into force that differs from the accepted one. Errors
// are of code MALFORMED.
func (d Delta) Apply(from Document) (Document, error) {
	if from.Service != d.Service || from.Version != d.From {
		return Document{}, failure.New(failure.Malformed, "the delta applies to another service or version than that of the given document")
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
		return Document{}, failure.New(failure.Malformed, "the document that results from the delta does not have the expected hash")
	}
	return result, nil
}

// Encode returns the delta as JSON, the form in which nodes exchange it.
func (d Delta) Encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic("catalog: delta cannot be encoded: " + err.Error())
	}
	return encoded
}

// DecodeDelta decodes a delta. Errors are of code MALFORMED.
func DecodeDelta(encoded []byte) (Delta, error) {
	var delta Delta
	if err := json.Unmarshal(encoded, &delta); err != nil {
		return delta, failure.Wrap(err, failure.Malformed, "the delta is not valid JSON of a delta")
	}
	if delta.Service == "" || delta.To <= delta.From {
		return delta, failure.New(failure.Malformed, "the delta has no service name, or its resulting version is not higher than its first version")
	}
	return delta, nil
}
