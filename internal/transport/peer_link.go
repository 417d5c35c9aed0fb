package transport

import (
	"context"
	"net"
	"time"

	"stiletrail/internal/message"
)

// queued is a message that waits to be written.
type queuedMessage struct {
	message message.Message
	// at is when it was queued, on the transport's clock.
	queuedAt time.Duration
}

// line carries messages to a peer, over one connection at a time.
type peerLink struct {
	transport *Transport
	key       peerLinkKey
	queue     chan queuedMessage
}

// run writes what is queued until the line is idle or the transport closes.
func (l *peerLink) run() {
	for {
		first, ok := l.next()
		if !ok {
			return
		}
		connection, err := l.dial()
		if err != nil {
			l.reportUndelivered(first)
			continue
		}
		l.write(connection, first)
	}
}

// next waits for a message; false ends the line, which no message can be left in.
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

// fail reports what waits for a peer that cannot be reached, for a short while, before it is dialled again.
func (l *peerLink) reportUndelivered(first queuedMessage) {
	l.transport.undelivered(l.key.to, first.message, false)
	wait := time.After(retryDelay)
	for {
		select {
		case item := <-l.queue:
			l.transport.undelivered(l.key.to, item.message, false)
		case <-wait:
			return
		case <-l.transport.ctx.Done():
			return
		}
	}
}

// lost reports the loss of a connection on which queries were sent.
func (l *peerLink) connectionLost() {
	if !l.key.control {
		go l.transport.handler.Disconnected(l.key.to)
	}
}
