package membership

import (
	"math"
	"slices"
	"time"

	"stiletrail/internal/message"
)

// Supersedes reports whether an update replaces the known state of the same member.
func Supersedes(update, known Member) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return update.State > known.State
}

// reintroduce tells a peer that is not known as alive its state in this node's view, so that the peer can refute it
// or introduce itself.
func (c *Core) reintroduce(peer string) []OutgoingMessage {
	updates := []message.MemberUpdate{toUpdate(c.self)}
	if found := c.records[peer]; found != nil {
		if found.member.State != Dead {
			return nil
		}
		updates = append(updates, toUpdate(found.member))
	}
	return []OutgoingMessage{{To: peer, Message: &message.MemberSync{ReplyWanted: true, Updates: updates}}}
}

func (c *Core) merge(updates []message.MemberUpdate, now time.Duration) {
	for _, update := range updates {
		c.apply(fromUpdate(update), now)
	}
}

// apply stores an update if it supersedes the known state of the member, and queues it to be passed on.
func (c *Core) apply(update Member, now time.Duration) {
	if update.Address == "" || update.State < Alive || update.State > Dead {
		return
	}
	if update.Address == c.self.Address {
		c.refute(update)
		return
	}
	known := c.records[update.Address]
	if known != nil && !Supersedes(update, known.member) {
		return
	}
	if known == nil {
		known = &record{}
		c.records[update.Address] = known
		place, _ := slices.BinarySearch(c.order, update.Address)
		c.order = slices.Insert(c.order, place, update.Address)
	}
	changed := known.member.Usable() != update.Usable() || known.member.Generation != update.Generation
	known.member = update
	known.stateSince = now
	c.enqueue(update.Address)
	if changed {
		c.version++
		c.recount()
	}
}

// refute raises this node's incarnation if an update about it differs from the state that this node announces.
func (c *Core) refute(update Member) {
	same := update.Generation == c.self.Generation && update.State == c.self.State
	if update.Incarnation < c.self.Incarnation || (update.Incarnation == c.self.Incarnation && same) {
		return
	}
	c.self.Incarnation = update.Incarnation + 1
	c.enqueue(c.self.Address)
}

func (c *Core) recount() {
	c.alive, c.zoneAlive = 0, 0
	if c.self.Usable() {
		c.alive, c.zoneAlive = 1, 1
	}
	for _, found := range c.records {
		if !found.member.Usable() {
			continue
		}
		c.alive++
		if found.member.Zone == c.self.Zone {
			c.zoneAlive++
		}
	}
}

// enqueue queues an update about a member to be passed on.
func (c *Core) enqueue(address string) {
	transmissions := transmissionFactor * int(math.Ceil(math.Log10(float64(len(c.records)+2))))
	for i := range c.updates {
		if c.updates[i].address == address {
			c.updates[i].transmissionsLeft = transmissions
			return
		}
	}
	c.updates = append(c.updates, queuedUpdate{address: address, transmissionsLeft: transmissions})
}

// piggyback returns the next updates to pass on, in turn.
func (c *Core) piggyback() []message.MemberUpdate {
	count := min(len(c.updates), c.settings.UpdatesPerMessage)
	var result []message.MemberUpdate
	selected := c.updates[:count]
	rest := append([]queuedUpdate(nil), c.updates[count:]...)
	for _, item := range selected {
		if member, ok := c.Lookup(item.address); ok {
			result = append(result, toUpdate(member))
			item.transmissionsLeft--
		} else {
			item.transmissionsLeft = 0
		}
		if item.transmissionsLeft > 0 {
			rest = append(rest, item)
		}
	}
	c.updates = rest
	return result
}

func toUpdate(m Member) message.MemberUpdate {
	return message.MemberUpdate{
		Address: m.Address, Zone: m.Zone, Region: m.Region,
		Generation: m.Generation, Incarnation: m.Incarnation, State: uint8(m.State),
	}
}

func fromUpdate(u message.MemberUpdate) Member {
	return Member{
		Address: u.Address, Zone: u.Zone, Region: u.Region,
		Generation: u.Generation, Incarnation: u.Incarnation, State: State(u.State),
	}
}
