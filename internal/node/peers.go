package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
)

// Message implements transport.Handler.
func (n *Node) Message(from string, m message.Message) {
	n.step(func(now time.Duration) engine.Output { return n.engine.Receive(now, from, m) })
}

// Undelivered implements transport.Handler.
func (n *Node) Undelivered(to string, m message.Message, written bool) {
	n.step(func(now time.Duration) engine.Output { return n.engine.Undelivered(now, to, m, written) })
}

// Disconnected implements transport.Handler.
func (n *Node) Disconnected(peer string) {
	n.step(func(now time.Duration) engine.Output { return n.engine.PeerDisconnected(now, peer) })
}

// Silent implements transport.Handler.
func (n *Node) Silent(peer string) {
	n.log.WithField("peer", peer).Warn("a connection to a peer fell silent")
}

// Malformed implements transport.Handler.
func (n *Node) Malformed(remote string, err error) {
	n.log.WithFields(logrus.Fields{"remote": remote, "failure": failure.CodeOf(err)}).Warn("connection closed for malformed input")
}
