package roster

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"stiletrail/internal/failure"
)

// keyPrefix is followed by the address of the registrar that writes the record.
const keyPrefix = "members/"

// KeyOf returns the store key of the record of a registrar.
func KeyOf(registrar string) string { return keyPrefix + registrar }

// IsKey reports whether a store key is that of a record.
func IsKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// Entry is what a registrar knows of one node.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Process identifies the process at the address. It differs between starts.
	Process uint32 `json:"process"`
	// Away is set if the registrar does not reach the node. AwaySince is the wall-clock time, in milliseconds since 1970, at
	// which a registrar first found so.
	Away      bool  `json:"away,omitempty"`
	AwaySince int64 `json:"away_since,omitempty"`
	// Settled is set once the process has been running for so long that nothing counts any more of what its predecessor did.
	Settled bool `json:"settled,omitempty"`
	// RapidRestart is set if the predecessor was not settled when this process was first heard of.
	RapidRestart bool `json:"rapid_restart,omitempty"`
}

// record is the value of a record.
type record struct {
	Members []Entry `json:"members"`
}

func encode(entries []Entry) []byte {
	value, err := json.Marshal(record{Members: entries})
	if err != nil {
		panic("roster: cannot encode a record as JSON: " + err.Error())
	}
	return value
}

func decode(value []byte) ([]Entry, error) {
	var decoded record
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, failure.Wrap(err, failure.Malformed, "the record of running nodes is not valid JSON of its type")
	}
	return slices.DeleteFunc(decoded.Members, func(e Entry) bool { return e.Address == "" }), nil
}

// takesPrecedence reports whether an entry says more of a node than another registrar's: a running process goes before one
// that is away, and one of which less is certain before a settled one.
func takesPrecedence(e, other Entry) bool {
	switch {
	case e.Away != other.Away:
		return !e.Away
	case e.Settled != other.Settled:
		return !e.Settled
	}
	return e.Process > other.Process
}

func byAddress(a, b Entry) int { return cmp.Compare(a.Address, b.Address) }
