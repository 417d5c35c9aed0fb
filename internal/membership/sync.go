package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/message"
)

// remoteSyncEvery exchanges with the own zone one goes to any member, so that zones learn of each other.
const remoteSyncEvery = 4

// startSync compares views with a seed not met yet or a random member, mostly of the own zone. Only the hash of the view is sent:
// most of the time views agree, and at many members they are large.
func (c *Core) startSync() []Send {
	if len(c.seeds) > 0 {
		seed := c.seeds[c.random.IntN(len(c.seeds))]
		if c.records[seed] == nil {
			return c.compareWith(seed)
		}
	}
	c.syncs++
	var peers []string
	if c.syncs%remoteSyncEvery != 0 {
		peers = c.pick(1, func(m Member) bool { return m.Usable() && m.Zone == c.self.Zone })
	}
	if len(peers) == 0 {
		peers = c.pick(1, Member.Usable)
	}
	if len(peers) == 0 {
		return nil
	}
	return c.compareWith(peers[0])
}

func (c *Core) compareWith(peer string) []Send {
	updates := []message.MemberUpdate{toUpdate(c.self)}
	return []Send{{To: peer, Message: &message.MemberSync{Reply: true, Hash: c.hash(), Updates: updates}}}
}

// RequestView returns messages that ask the given peer for its whole view.
func (c *Core) RequestView(peer string) []Send {
	return []Send{{To: peer, Message: &message.MemberSync{Reply: true, Updates: []message.MemberUpdate{toUpdate(c.self)}}}}
}

// answerSync answers a comparison: to an equal view that it is equal, to a whole view what this node knows better, else with the
// whole view of this node, for which the peer then sends what it knows better.
func (c *Core) answerSync(from string, m *message.MemberSync) []Send {
	switch {
	case m.Complete:
		return c.sendNewer(from, m.Updates)
	case m.Hash == 0:
		return c.sendView(from, false)
	case m.Hash == c.hash():
		updates := []message.MemberUpdate{toUpdate(c.self)}
		return []Send{{To: from, Message: &message.MemberSync{Hash: m.Hash, Updates: updates}}}
	}
	return c.sendView(from, true)
}

// betterFor sends what supersedes a peer's whole view, or is missing in it.
func (c *Core) sendNewer(peer string, view []message.MemberUpdate) []Send {
	known := make(map[string]Member, len(view))
	for _, update := range view {
		known[update.Address] = fromUpdate(update)
	}
	var better []message.MemberUpdate
	for _, member := range c.Members() {
		if theirs, found := known[member.Address]; !found || Supersedes(member, theirs) {
			better = append(better, toUpdate(member))
		}
	}
	if len(better) == 0 {
		return nil
	}
	return c.splitIntoMessages(peer, better, false)
}

func (c *Core) sendView(peer string, reply bool) []Send {
	updates := []message.MemberUpdate{toUpdate(c.self)}
	for _, address := range c.order {
		updates = append(updates, toUpdate(c.records[address].member))
	}
	return c.splitIntoMessages(peer, updates, reply)
}

// chunks sends updates in messages of bounded size. Of several only the first asks for a reply, and none is whole.
func (c *Core) splitIntoMessages(peer string, updates []message.MemberUpdate, reply bool) []Send {
	whole := reply && len(updates) <= syncChunk
	var sends []Send
	for len(updates) > 0 {
		chunk := updates[:min(len(updates), syncChunk)]
		updates = updates[len(chunk):]
		sends = append(sends, Send{To: peer, Message: &message.MemberSync{Reply: reply, Complete: whole, Updates: chunk}})
		reply = false
	}
	return sends
}

// hash of the whole view, this node included; never 0.
func (c *Core) hash() uint64 {
	digest := xxhash.New()
	var numbers [17]byte
	for _, member := range c.Members() {
		_, _ = digest.WriteString(member.Address)
		binary.BigEndian.PutUint64(numbers[:], member.Generation)
		binary.BigEndian.PutUint64(numbers[8:], member.Incarnation)
		numbers[16] = byte(member.State)
		_, _ = digest.Write(numbers[:])
	}
	return max(digest.Sum64(), 1)
}
