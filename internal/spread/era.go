package spread

import (
	"maps"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// maximumRetainedRequests is how often a node asks peers for a configuration version that they have in force. It is
// bounded because this node's own settings may make it reject the version every time.
const maximumRetainedRequests = 3

// observeEra records that a message or an answer of the store mentioned an era.
func (c *Core) observeEra(now time.Duration, era uint64) {
	if c.knowsEra && era > c.era {
		c.restored, c.restoredAt = true, clock.FromDuration(now)
	}
	c.era, c.knowsEra = max(c.era, era), true
}

// RewriteRemaining returns for how much longer the restored store may lack records that it had confirmed before.
// The writers of those records write them again within that time. It returns 0 if this node knows of no recent
// restore.
func (c *Core) RewriteRemaining(now time.Duration) clock.Ms {
	if !c.restored {
		return 0
	}
	return max(0, c.restoredAt+c.settings.RewriteWindow-clock.FromDuration(now))
}

// Era returns the latest era mentioned so far. It also reports whether, as far as this node knows, that era began
// with a restore of the store.
func (c *Core) Era() (era uint64, restored bool) { return c.era, c.restored }

// Retain marks a record as in force at this node although the restored store has another value for its key or none.
// Answers to peers' requests include retained records, since a node that has just started cannot learn them in any
// other way.
func (c *Core) Retain(record message.StoreRecord) { c.retained[record.Key] = record }

// StopRetaining removes the retained record of a key.
func (c *Core) StopRetaining(key string) { delete(c.retained, key) }

// SetConfiguration sets the version of the configuration in force, which digests report.
func (c *Core) SetConfiguration(version uint64) { c.configurationVersion = version }

func (c *Core) retainedRecords() (records []message.StoreRecord) {
	for _, key := range slices.Sorted(maps.Keys(c.retained)) {
		records = append(records, c.retained[key])
	}
	return records
}

// digest returns the message that reports how much of the store this node knows.
func (c *Core) digest(now time.Duration) *message.StoreDigest {
	return &message.StoreDigest{Revision: c.revision, Configuration: c.configurationVersion, Confirmation: c.confirmation(now)}
}

// requestRetained asks a peer for all of its records. It does so if the peer is at the same revision of the store
// but has a newer configuration in force, which means that the peer retains a configuration that the store has
// lost.
func (c *Core) requestRetained(now time.Duration, peer string, version uint64) []OutgoingMessage {
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
	return []OutgoingMessage{{peer, &message.StoreRequest{}}}
}
