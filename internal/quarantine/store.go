package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"strings"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
)

// These are the prefixes of the keys that nodes write to the store. The items have leases and expire when the
// quarantine ends.
const (
	keyPrefix      = "quarantine/"
	retrialsPrefix = "quarantine-retrial/"
)

// Item is the stored form of a quarantine.
type Item struct {
	// CrashedVersions lists the software versions that the request crashed; SafeVersions lists those that answer it.
	CrashedVersions []string `json:"versions"`
	SafeVersions    []string `json:"sound,omitempty"`
	// Callers lists the fingerprints of the request together with its caller, for callers whose requests crashed back
	// ends.
	Callers []Fingerprint `json:"askers,omitempty"`
}

// KeyOf returns the store key of a quarantined request.
func KeyOf(fingerprint Fingerprint) string { return keyPrefix + hex.EncodeToString(fingerprint[:]) }

// RetrialKey returns the store key by which nodes agree on which of them sends a quarantined request once more: to a
// software version that has not had it, or, with an empty version, for another caller.
func RetrialKey(fingerprint Fingerprint, version string) string {
	return retrialsPrefix + hex.EncodeToString(fingerprint[:]) + "/" + hex.EncodeToString([]byte(version))
}

// ParseKey returns the fingerprint of the request that a store key belongs to; found is false if the key is not one of
// a quarantine.
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

// Encode returns the store value for a quarantined request.
func (c *Core) Encode(fingerprint Fingerprint) []byte {
	item := Item{}
	if r := c.records[fingerprint]; r != nil {
		item.CrashedVersions, item.SafeVersions, item.Callers = r.crashedVersions, r.safeVersions, r.callers
	}
	value, err := json.Marshal(item)
	if err != nil {
		panic("quarantine: cannot encode a quarantine item as JSON: " + err.Error())
	}
	return value
}

// ApplyStored records what the store says about a request. It reports whether this quarantined the request, which it
// was not before. An error has the code MALFORMED and changes nothing.
func (c *Core) ApplyStored(now clock.Ms, fingerprint Fingerprint, value []byte) (newlyQuarantined bool, err error) {
	var item Item
	if err := json.Unmarshal(value, &item); err != nil {
		return false, failure.Wrap(err, failure.Malformed, "cannot decode the quarantine item of a request as JSON")
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

// RemoveStored records that the store no longer lists a request: its quarantine ends, unless this node has observed
// more crashes itself or learned of them from other nodes. It reports whether the quarantine ended.
func (c *Core) RemoveStored(now clock.Ms, fingerprint Fingerprint) (released bool) {
	r := c.records[fingerprint]
	if r == nil || !r.stored {
		return false
	}
	r.stored = false
	return !r.quarantined(now)
}

// RecordStoreLoss records that a store that was restored from a backup no longer lists a request. Nobody has ended the
// quarantine, so it continues for its remaining time, and MissingFromStore returns the request so that it is written
// again.
func (c *Core) RecordStoreLoss(fingerprint Fingerprint) {
	r := c.records[fingerprint]
	if r == nil || !r.stored {
		return
	}
	r.stored = false
	r.quarantinedUntil = max(r.quarantinedUntil, r.storedAt+c.settings.Duration)
}

// Lifted reports whether a request has been answered since it was last quarantined. If a restored store still lists it
// as quarantined, that state is older than the answer.
func (c *Core) Lifted(fingerprint Fingerprint) bool {
	r := c.records[fingerprint]
	return r != nil && r.lifted
}

// MissingFromStore returns the quarantined requests that the store does not list, with the remaining duration of each
// quarantine in milliseconds.
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

// appendAll appends the versions that are not yet in the list, up to maximumVersions.
func appendAll(values, more []string) []string {
	for _, value := range more {
		values = appendNew(values, value, maximumVersions)
	}
	return values
}
