package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/message"
)

// remoteSyncEvery is n where every n-th exchange of views goes to a random member of any zone, so that zones learn
// of each other's members.
const remoteSyncEvery = 4

// startSync compares views with a seed that is not yet known as a member, or with a random member, usually of this
// node's zone. It sends only the hash of the view, since views usually agree and are large if there are many
// members.
func (c *Core) startSync() []OutgoingMessage {
	if len(c.seeds) > 0 {
		seed := c.seeds[c.random.IntN(len(c.seeds))]
		if c.records[seed] == nil {
			return c.Compare(seed)
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
	return c.Compare(peers[0])
}

// Compare returns messages that compare this node's view with that of a peer. Each then gets what the other one knows
// better.
func (c *Core) Compare(peer string) []OutgoingMessage {
	updates := []message.MemberUpdate{toUpdate(c.self)}
	return []OutgoingMessage{{To: peer, Message: &message.MemberSync{ReplyWanted: true, Hash: c.hash(), Updates: updates}}}
}

// RequestView returns messages that ask a peer for its complete view.
func (c *Core) RequestView(peer string) []OutgoingMessage {
	return []OutgoingMessage{{To: peer, Message: &message.MemberSync{ReplyWanted: true, Updates: []message.MemberUpdate{toUpdate(c.self)}}}}
}

// answerSync answers a comparison of views. If the message contains the peer's complete view, the answer contains
// the newer or additional members of this node's view. If the hashes are equal, the answer says so. Otherwise it
// contains this node's complete view, and the peer then answers with its newer or additional members.
func (c *Core) answerSync(from string, m *message.MemberSync) []OutgoingMessage {
	switch {
	case m.Complete:
		return c.sendNewer(from, m.Updates)
	case m.Hash == 0:
		return c.sendView(from, false)
	case m.Hash == c.hash():
		updates := []message.MemberUpdate{toUpdate(c.self)}
		return []OutgoingMessage{{To: from, Message: &message.MemberSync{Hash: m.Hash, Updates: updates}}}
	}
	return c.sendView(from, true)
}

// sendNewer sends the members that supersede those in a peer's complete view, or that are missing there.
func (c *Core) sendNewer(peer string, view []message.MemberUpdate) []OutgoingMessage {
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

func (c *Core) sendView(peer string, reply bool) []OutgoingMessage {
	updates := []message.MemberUpdate{toUpdate(c.self)}
	for _, address := range c.order {
		updates = append(updates, toUpdate(c.records[address].member))
	}
	return c.splitIntoMessages(peer, updates, reply)
}

// splitIntoMessages sends updates in messages of bounded size. If there are several, only the first asks for a
// reply and none is marked as complete.
func (c *Core) splitIntoMessages(peer string, updates []message.MemberUpdate, reply bool) []OutgoingMessage {
	complete := reply && len(updates) <= syncChunk
	var sends []OutgoingMessage
	for len(updates) > 0 {
		chunk := updates[:min(len(updates), syncChunk)]
		updates = updates[len(chunk):]
		sends = append(sends, OutgoingMessage{To: peer, Message: &message.MemberSync{ReplyWanted: reply, Complete: complete, Updates: chunk}})
		reply = false
	}
	return sends
}

// hash returns a hash of the complete view, including this node. It is never 0.
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
