package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"stiletrail/internal/message"
)

// queued is a message that waits to be written.
type queued struct {
	message message.Message
	at      time.Time
}

// line is one outgoing connection to a peer.
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

// write sends what is queued over one connection until it breaks or is idle.
func (l *line) write(connection net.Conn, first queued) {
	defer func() { _ = connection.Close() }()
	broken := l.watch(connection)
	writer := bufio.NewWriterSize(connection, l.transport.sizes.Buffer)
	hello := message.Encode(&message.Hello{Address: l.transport.address})
	_, _ = writer.Write(hello)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	item := first
	for {
		if !l.writeBatch(connection, writer, item) {
			l.lost()
			return
		}
		idle.Reset(idleTimeout)
		select {
		case item = <-l.queue:
		case <-broken:
			l.lost()
			return
		case <-idle.C:
			return
		case <-l.transport.ctx.Done():
			return
		}
	}
}

// watch returns a channel that closes when the peer closes the connection, on which it never sends.
func (l *line) watch(connection net.Conn) <-chan struct{} {
	broken := make(chan struct{})
	l.transport.tasks.Go(func() {
		defer close(broken)
		unregister := context.AfterFunc(l.transport.ctx, func() { _ = connection.Close() })
		defer unregister()
		var one [1]byte
		_, _ = connection.Read(one[:])
	})
	return broken
}

// writeBatch writes an item and all that is queued behind it, then flushes. After an error the peer may have got any of
// the batch.
func (l *line) writeBatch(connection net.Conn, writer *bufio.Writer, item queued) bool {
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	var batch []message.Message
	for {
		if l.encode(writer, item) {
			batch = append(batch, item.message)
		}
		select {
		case item = <-l.queue:
			continue
		default:
		}
		break
	}
	if err := writer.Flush(); err != nil {
		for _, m := range batch {
			l.transport.undelivered(l.key.to, m, true)
		}
		return false
	}
	return true
}

// encode writes one frame into the buffer. A sub-query whose time ran out while it was queued, as in a process that was
// frozen, is not written any more.
func (l *line) encode(writer *bufio.Writer, item queued) bool {
	if sub, ok := item.message.(*message.SubQuery); ok {
		waited := uint64(time.Since(item.at).Microseconds())
		if waited >= sub.RemainingMicroseconds {
			l.transport.undelivered(l.key.to, item.message, false)
			return false
		}
		shortened := *sub
		shortened.RemainingMicroseconds -= waited
		item.message = &shortened
	}
	frame := message.Encode(item.message)
	if len(frame) > message.MaximumPayload {
		// The peer would close the connection for it, and others would lose what is under way there.
		l.transport.undelivered(l.key.to, item.message, false)
		return false
	}
	_, _ = writer.Write(frame)
	counters := &l.transport.Counters
	counters.SentFrames.Add(1)
	counters.SentBytes.Add(uint64(len(frame)))
	if l.key.control {
		counters.SentControlBytes.Add(uint64(len(frame)))
	}
	return true
}

func (l *line) lost() {
	if !l.key.control {
		go l.transport.handler.Disconnected(l.key.to)
	}
}
