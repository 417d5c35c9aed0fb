package transport

import (
	"context"
	"net"
	"time"

	"stiletrail/internal/message"
)

// queued is a message that waits to be written.
type queued struct {
	message message.Message
	// at is when it was queued, on the transport's clock.
	at time.Duration
}

// line carries messages to a peer, over one connection at a time.
type line struct {
	transport *Transport
	key       lineKey
	queue     chan queued
}

// run writes what is queued until the line is idle or the transport closes.
func (l *line) run() {
	for {
		first, ok := l.next()
		if !ok {
			return
		}
		connection, err := l.dial()
		if err != nil {
			l.fail(first)
			continue
		}
		l.write(connection, first)
	}
}

// next waits for a message; false ends the line, which no message can be left in.
func (l *line) next() (queued, bool) {
	select {
	case item := <-l.queue:
		return item, true
	case <-l.transport.ctx.Done():
		return queued{}, false
	case <-time.After(idleTimeout):
	}
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	select {
	case item := <-l.queue:
		return item, true
	default:
		delete(l.transport.lines, l.key)
		return queued{}, false
	}
}

func (l *line) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.transport.ctx, dialTimeout)
	defer cancel()
	return l.transport.network.Dial(ctx, l.key.to)
}

// fail reports what waits for a peer that cannot be reached, for a short while, before it is dialled again.
func (l *line) fail(first queued) {
	l.transport.undelivered(l.key.to, first.message, false)
	wait := time.After(redialWait)
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
func (l *line) lost() {
	if !l.key.control {
		go l.transport.handler.Disconnected(l.key.to)
	}
}
