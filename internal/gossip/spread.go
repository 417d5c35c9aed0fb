package gossip

import (
	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// Push sends a new document to random peers, in other zones too.
func (c *Core) Push(service string, except string) []membership.Send {
	zone := c.peers.Self().Zone
	targets := c.peers.Pick(c.settings.Fanout, func(m membership.Member) bool { return m.Usable() && m.Address != except })
	targets = append(targets, c.peers.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Zone != zone })...)
	var sends []membership.Send
	for i, target := range targets {
		if i > 0 && target == targets[0] {
			continue
		}
		sends = append(sends, membership.Send{To: target, Message: c.Rumor(service)})
	}
	return sends
}

// Rumor returns the message that pushes the document of a service: the delta where there is one.
func (c *Core) Rumor(service string) *message.CatalogDocuments {
	if delta := c.catalog.Delta(service); delta != nil {
		return &message.CatalogDocuments{Rumor: true, Deltas: [][]byte{delta}}
	}
	return &message.CatalogDocuments{Rumor: true, Documents: [][]byte{c.catalog.Encoded(service)}}
}

// documents sends what is newer than the versions the peer holds, in chunks; the first chunk is the given reply.
func (c *Core) documents(to string, held []message.ServiceVersion, reply *message.CatalogDocuments) []membership.Send {
	var sends []membership.Send
	count := 0
	for _, key := range held {
		if c.catalog.Version(key.Service) <= key.Version {
			continue
		}
		if delta := c.catalog.DeltaFrom(key.Service, key.Version); delta != nil {
			reply.Deltas = append(reply.Deltas, delta)
		} else {
			reply.Documents = append(reply.Documents, c.catalog.Encoded(key.Service))
		}
		count++
		if count%c.settings.DocumentsPerMessage == 0 {
			sends = append(sends, membership.Send{To: to, Message: reply})
			reply = &message.CatalogDocuments{}
		}
	}
	if len(reply.Documents)+len(reply.Deltas)+len(reply.Wanted) > 0 {
		sends = append(sends, membership.Send{To: to, Message: reply})
	}
	return sends
}

func (c *Core) receiveDocuments(from string, m *message.CatalogDocuments) []membership.Send {
	var sends []membership.Send
	for _, encoded := range m.Documents {
		if document, err := catalog.Decode(encoded); err == nil {
			sends = append(sends, c.takeIn(document, from, m.Rumor)...)
		}
	}
	acknowledged := true
	for _, encoded := range m.Deltas {
		document, wanted, ok := c.applyDelta(encoded)
		if ok {
			sends = append(sends, c.takeIn(document, from, m.Rumor)...)
		}
		if wanted != nil {
			acknowledged = false
			sends = append(sends, membership.Send{To: from, Message: wanted})
		}
	}
	sends = append(sends, c.documents(from, m.Wanted, &message.CatalogDocuments{})...)
	if m.Operation != 0 && acknowledged {
		sends = append(sends, membership.Send{To: from, Message: &message.CatalogAck{Operation: m.Operation}})
	}
	return sends
}

// takeIn merges a document and passes a rumor on.
func (c *Core) takeIn(document catalog.Document, from string, rumor bool) []membership.Send {
	if !c.catalog.Merge(document) {
		return nil
	}
	c.onNew(document)
	if !rumor {
		return nil
	}
	return c.Push(document.Service, from)
}

// applyDelta returns the document a delta leads to. Where the version before is not held, or something else results, the
// whole document is wanted from the sender.
func (c *Core) applyDelta(encoded []byte) (document catalog.Document, wanted *message.CatalogDocuments, ok bool) {
	delta, err := catalog.DecodeDelta(encoded)
	if err != nil || c.catalog.Version(delta.Service) >= delta.To {
		return document, nil, false
	}
	held, _ := c.catalog.Get(delta.Service)
	document, err = delta.Apply(held)
	if err != nil {
		// Version zero asks for the whole document, whatever is held.
		key := message.ServiceVersion{Service: delta.Service}
		return document, &message.CatalogDocuments{Wanted: []message.ServiceVersion{key}}, false
	}
	return document, nil, true
}
