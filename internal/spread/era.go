package spread

import (
	"maps"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// maximumKeptTries to learn a configuration that a peer has in force: this node may turn it down, by settings of its own.
const maximumRetainedRequests = 3

// observeEra takes in that something was said of an era.
func (c *Core) observeEra(now time.Duration, era uint64) {
	if c.knowsEra && era > c.era {
		c.restored, c.restoredAt = true, clock.FromDuration(now)
	}
	c.era, c.knowsEra = max(c.era, era), true
}

// RewriteRemaining is how much longer a restored store may lack what it had confirmed before: it is written again by whoever wrote
// it. It is 0 where the store was not restored of late, as far as this node knows.
func (c *Core) RewriteRemaining(now time.Duration) clock.Ms {
	if !c.restored {
		return 0
	}
	return max(0, c.restoredAt+c.settings.RewriteWindow-clock.FromDuration(now))
}

// Era is the latest one of which anything was said; restored reports whether the store was restored into it, as far as this
// node knows.
func (c *Core) Era() (era uint64, restored bool) { return c.era, c.restored }

// Retain has nodes that ask be told an item that this node goes by though the restored store says otherwise. A node that starts
// then has no other way to know it.
func (c *Core) Retain(record message.StoreRecord) { c.retained[record.Key] = record }

// StopRetaining ends that for a key.
func (c *Core) StopRetaining(key string) { delete(c.retained, key) }

// SetConfiguration notes the version of the configuration in force, which digests tell.
func (c *Core) SetConfiguration(version uint64) { c.configurationVersion = version }

func (c *Core) retainedRecords() (records []message.StoreRecord) {
	for _, key := range slices.Sorted(maps.Keys(c.retained)) {
		records = append(records, c.retained[key])
	}
	return records
}

// digest says how much of the store the node knows.
func (c *Core) digest(now time.Duration) *message.StoreDigest {
	return &message.StoreDigest{Revision: c.revision, Configuration: c.configurationVersion, Confirmation: c.confirmation(now)}
}

// askForKept asks a peer for all that it knows where, at the same revision of the store, it has a newer configuration in force:
// it keeps one that the store has lost.
func (c *Core) requestRetained(now time.Duration, peer string, version uint64) []Send {
	if version <= c.configurationVersion || now < c.nextRequestAt {
		return nil
	}
	if version > c.retainedVersionRequested {
		c.retainedVersionRequested, c.retainedRequests = version, 0
	}
	if c.retainedRequests >= maximumRetainedRequests {
		return nil
	}
	c.retainedRequests++
	c.nextRequestAt = now + c.settings.AnswerTimeout
	return []Send{{peer, &message.StoreRequest{}}}
}
