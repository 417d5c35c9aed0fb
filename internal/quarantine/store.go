package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"strings"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
)

// Keys of the store that nodes write. Each goes by itself when the quarantine is over.
const (
	keyPrefix      = "quarantine/"
	retrialsPrefix = "quarantine-retrial/"
)

// Item is a quarantine as it is kept in the store.
type Item struct {
	// CrashedVersions of software that the request ended, sound ones that answer it.
	CrashedVersions []string `json:"versions"`
	SafeVersions    []string `json:"sound,omitempty"`
	// Callers are the marks of those who asked when it ended back ends.
	Callers []Fingerprint `json:"askers,omitempty"`
}

// KeyOf is the store's key of a request.
func KeyOf(fingerprint Fingerprint) string { return keyPrefix + hex.EncodeToString(fingerprint[:]) }

// RetrialKey is the store's key by which nodes agree on who sends a request under quarantine to a new version of the software, or
// with no version for another caller.
func RetrialKey(fingerprint Fingerprint, version string) string {
	return retrialsPrefix + hex.EncodeToString(fingerprint[:]) + "/" + hex.EncodeToString([]byte(version))
}

// ParseKey gives the request that a key of the store is about; false where it is about none.
func ParseKey(key string) (fingerprint Fingerprint, found bool) {
	text, found := strings.CutPrefix(key, keyPrefix)
	if !found {
		return fingerprint, false
	}
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(fingerprint) {
		return fingerprint, false
	}
	return Fingerprint(decoded), true
}

// Encode gives the value of a request's key.
func (c *Core) Encode(fingerprint Fingerprint) []byte {
	item := Item{}
	if r := c.records[fingerprint]; r != nil {
		item.CrashedVersions, item.SafeVersions, item.Callers = r.crashedVersions, r.safeVersions, r.callers
	}
	value, err := json.Marshal(item)
	if err != nil {
		panic("quarantine: an item of strings cannot be encoded: " + err.Error())
	}
	return value
}

// ApplyStored takes in what the store says of a request. It reports whether the request is under quarantine by it that was not before.
// An error, of code MALFORMED, changes nothing.
func (c *Core) ApplyStored(now clock.Ms, fingerprint Fingerprint, value []byte) (newlyQuarantined bool, err error) {
	var item Item
	if err := json.Unmarshal(value, &item); err != nil {
		return false, failure.Wrap(err, failure.Malformed, "the quarantine of a request cannot be read")
	}
	r := c.recordOf(now, fingerprint)
	newlyQuarantined = !r.quarantined(now)
	if !r.stored {
		r.storedAt = now
	}
	r.stored, r.updatedAt, r.lifted = true, now, false
	r.crashedVersions = appendAll(r.crashedVersions, item.CrashedVersions)
	r.safeVersions = appendAll(r.safeVersions, item.SafeVersions)
	r.addCallers(item.Callers...)
	return newlyQuarantined, nil
}

// RemoveStored takes in that the store says nothing of a request any more: its quarantine is over, unless this node has seen more
// itself or heard of it.
func (c *Core) RemoveStored(now clock.Ms, fingerprint Fingerprint) (released bool) {
	r := c.records[fingerprint]
	if r == nil || !r.stored {
		return false
	}
	r.stored = false
	return !r.quarantined(now)
}

// RecordStoreLoss takes in that the store, back from a copy, says nothing of a request any more. Nobody has ended its quarantine: that goes
// on for what was left of it, and Unstored names the request, so that it is written again.
func (c *Core) RecordStoreLoss(fingerprint Fingerprint) {
	r := c.records[fingerprint]
	if r == nil || !r.stored {
		return
	}
	r.stored = false
	r.quarantinedUntil = max(r.quarantinedUntil, r.storedAt+c.settings.Duration)
}

// Lifted reports whether a request is known to have been answered since it was last under quarantine: what a store that is back
// from a copy says of it is older than that.
func (c *Core) Lifted(fingerprint Fingerprint) bool {
	r := c.records[fingerprint]
	return r != nil && r.lifted
}

// MissingFromStore are the requests under quarantine that the store says nothing of, with how much longer they are.
func (c *Core) MissingFromStore(now clock.Ms) map[Fingerprint]clock.Ms {
	var found map[Fingerprint]clock.Ms
	for fingerprint, r := range c.records {
		if !r.stored && now < r.quarantinedUntil {
			if found == nil {
				found = map[Fingerprint]clock.Ms{}
			}
			found[fingerprint] = r.quarantinedUntil - now
		}
	}
	return found
}

func appendAll(values, more []string) []string {
	for _, value := range more {
		values = appendNew(values, value, maximumVersions)
	}
	return values
}
