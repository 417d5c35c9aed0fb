package spread

import (
	"maps"
	"slices"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// mostKeptTries to learn a configuration that a peer has in force: one that this node turns down, by settings of its own, is not asked for for ever.
const mostKeptTries = 3

// enter takes in that something was said of an era.
func (c *Core) enter(now time.Duration, era uint64) {
	if c.knowsEra && era > c.era {
		c.cameBack, c.cameBackAt = true, clock.Of(now)
	}
	c.era, c.knowsEra = max(c.era, era), true
}

// Unwritten is how much longer the store may lack what it had confirmed before it came back from a copy: it is written again by whoever wrote it. It is
// 0 where the store has not come back of late, as far as this node knows.
func (c *Core) Unwritten(now time.Duration) clock.Ms {
	if !c.cameBack {
		return 0
	}
	return max(0, c.cameBackAt+c.settings.ReturnWithin-clock.Of(now))
}

// Era is the latest one of which anything was said; returned reports whether the store has come back from a copy into it, as far as this node knows.
func (c *Core) Era() (era uint64, returned bool) { return c.era, c.cameBack }

// Keep has nodes that ask be told an item that this node goes by though the store, back from a copy, says otherwise now. A node that starts then has
// no other way to know it.
func (c *Core) Keep(record message.StoreRecord) { c.kept[record.Key] = record }

// Drop ends that for a key.
func (c *Core) Drop(key string) { delete(c.kept, key) }

// InForce notes the version of the configuration in force, which digests tell.
func (c *Core) InForce(version uint64) { c.configuration = version }

func (c *Core) keptRecords() (records []message.StoreRecord) {
	for _, key := range slices.Sorted(maps.Keys(c.kept)) {
		records = append(records, c.kept[key])
	}
	return records
}

// account says how much of the store the node knows.
func (c *Core) account(now time.Duration) *message.StoreDigest {
	return &message.StoreDigest{Revision: c.revision, Configuration: c.configuration, Confirmation: c.confirmation(now)}
}

// askForKept asks a peer for all that it knows where, at the same revision of the store, it has a newer configuration in force: it keeps one that the
// store has lost.
func (c *Core) askForKept(now time.Duration, peer string, version uint64) []Send {
	if version <= c.configuration || now < c.askedUntil {
		return nil
	}
	if version > c.keptAsked {
		c.keptAsked, c.keptTries = version, 0
	}
	if c.keptTries >= mostKeptTries {
		return nil
	}
	c.keptTries++
	c.askedUntil = now + c.settings.AnswerWithin
	return []Send{{peer, &message.StoreRequest{}}}
}
