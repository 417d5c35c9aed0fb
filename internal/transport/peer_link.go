package transport

import (
	"context"
	"net"
	"time"

	"stiletrail/internal/message"
)

// queuedMessage is a message that waits to be written.
type queuedMessage struct {
	message message.Message
	// queuedAt is when the message was queued, on the transport's clock.
	queuedAt time.Duration
}

// peerLink sends messages to a peer, over one connection at a time.
type peerLink struct {
	transport *Transport
	key       peerLinkKey
	queue     chan queuedMessage
}

// run writes queued messages until the link has been idle for idleTimeout or the transport is closed.
func (l *peerLink) run() {
	for {
		first, ok := l.next()
		if !ok {
			return
		}
		connection, err := l.dial()
		if err != nil {
			l.reportQueuedUndelivered(first)
			continue
		}
		l.write(connection, first)
	}
}

// next returns the next message to write. It returns false if the transport is closed or the link has been idle for
// idleTimeout. An idle link is removed under the transport's lock and with an empty queue, so no message stays in it.
func (l *peerLink) next() (queuedMessage, bool) {
	select {
	case item := <-l.queue:
		return item, true
	case <-l.transport.ctx.Done():
		return queuedMessage{}, false
	case <-time.After(idleTimeout):
	}
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	select {
	case item := <-l.queue:
		return item, true
	default:
		delete(l.transport.links, l.key)
		return queuedMessage{}, false
	}
}

func (l *peerLink) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.transport.ctx, dialTimeout)
	defer cancel()
	return l.transport.network.Dial(ctx, l.key.to)
}

// reportQueuedUndelivered reports the queued messages for an unreachable peer as undelivered, until retryDelay has
// passed and the peer is dialled again.
func (l *peerLink) reportQueuedUndelivered(first queuedMessage) {
	l.transport.reportUndelivered(l.key.to, first.message, false)
	wait := time.After(retryDelay)
	for {
		select {
		case item := <-l.queue:
			l.transport.reportUndelivered(l.key.to, item.message, false)
		case <-wait:
			return
		case <-l.transport.ctx.Done():
			return
		}
	}
}

// connectionLost reports the loss of a connection on which queries were sent.
func (l *peerLink) connectionLost() {
	if !l.key.control {
		go l.transport.handler.Disconnected(l.key.to)
	}
}
