package gossip

import (
	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// Push sends the document of a service to random peers: to Settings.Fanout peers in any zone, and to one peer outside
// this node's zone. except is the address of a peer that is not among the former, because the document came from it.
func (c *Core) Push(service string, except string) []membership.OutgoingMessage {
	zone := c.peers.Self().Zone
	targets := c.peers.Pick(c.settings.Fanout, func(m membership.Member) bool { return m.Usable() && m.Address != except })
	targets = append(targets, c.peers.Pick(1, func(m membership.Member) bool { return m.Usable() && m.Zone != zone })...)
	var sends []membership.OutgoingMessage
	for i, target := range targets {
		if i > 0 && target == targets[0] {
			continue
		}
		sends = append(sends, membership.OutgoingMessage{To: target, Message: c.Rumor(service)})
	}
	return sends
}

// Rumor returns the message that pushes the document of a service. The message has the delta from the previous
// version if there is one, and the whole document otherwise. Receivers push a rumor on to other nodes.
func (c *Core) Rumor(service string) *message.CatalogDocuments {
	if delta := c.catalog.Delta(service); delta != nil {
		return &message.CatalogDocuments{Rumor: true, Deltas: [][]byte{delta}}
	}
	return &message.CatalogDocuments{Rumor: true, Documents: [][]byte{c.catalog.Encoded(service)}}
}

// sendNewer returns messages with the documents that are newer than the given versions, which the peer has. The first
// documents are added to reply; further messages follow when a message is full.
func (c *Core) sendNewer(to string, versions []message.ServiceVersion, reply *message.CatalogDocuments) []membership.OutgoingMessage {
	var sends []membership.OutgoingMessage
	count := 0
	for _, key := range versions {
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
			sends = append(sends, membership.OutgoingMessage{To: to, Message: reply})
			reply = &message.CatalogDocuments{}
		}
	}
	if len(reply.Documents)+len(reply.Deltas)+len(reply.Wanted) > 0 {
		sends = append(sends, membership.OutgoingMessage{To: to, Message: reply})
	}
	return sends
}

func (c *Core) receiveDocuments(from string, m *message.CatalogDocuments) []membership.OutgoingMessage {
	var sends []membership.OutgoingMessage
	for _, encoded := range m.Documents {
		if document, err := catalog.Decode(encoded); err == nil {
			sends = append(sends, c.mergeDocument(document, from, m.Rumor)...)
		}
	}
	acknowledged := true
	for _, encoded := range m.Deltas {
		document, wanted, ok := c.applyDelta(encoded)
		if ok {
			sends = append(sends, c.mergeDocument(document, from, m.Rumor)...)
		}
		if wanted != nil {
			acknowledged = false
			sends = append(sends, membership.OutgoingMessage{To: from, Message: wanted})
		}
	}
	sends = append(sends, c.sendNewer(from, m.Wanted, &message.CatalogDocuments{})...)
	if m.Operation != 0 && acknowledged {
		sends = append(sends, membership.OutgoingMessage{To: from, Message: &message.CatalogAck{Operation: m.Operation}})
	}
	return sends
}

// mergeDocument merges a document into the catalog. If the document was new and came as a rumor, it is pushed on to
// peers.
func (c *Core) mergeDocument(document catalog.Document, from string, rumor bool) []membership.OutgoingMessage {
	if !c.catalog.Merge(document) {
		return nil
	}
	c.onDocument(document)
	if !rumor {
		return nil
	}
	return c.Push(document.Service, from)
}

// applyDelta returns the document that results from a delta. If this node does not have the version that the delta
// applies to, or if the result has the wrong hash, it returns a request to the sender for the whole document. A delta
// to a version that this node has already is ignored.
func (c *Core) applyDelta(encoded []byte) (document catalog.Document, wanted *message.CatalogDocuments, ok bool) {
	delta, err := catalog.DecodeDelta(encoded)
	if err != nil || c.catalog.Version(delta.Service) >= delta.To {
		return document, nil, false
	}
	base, _ := c.catalog.Get(delta.Service)
	document, err = delta.Apply(base)
	if err != nil {
		// Version zero asks for the whole document, whichever version this node has.
		key := message.ServiceVersion{Service: delta.Service}
		return document, &message.CatalogDocuments{Wanted: []message.ServiceVersion{key}}, false
	}
	return document, nil, true
}
