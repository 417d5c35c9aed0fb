package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// queued is a message that waits to be written.
type queued struct {
	message message.Message
	// at is when it was queued, on the transport's clock.
	at time.Duration
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

// write sends what is queued over one connection until it breaks, falls silent or is idle. No write tells of silence: frames go into the
// machine's own buffer. So the peer acknowledges each one, and a connection on which that takes too long is given up for a new one.
func (l *line) write(connection net.Conn, first queued) {
	over := make(chan struct{})
	defer close(over)
	defer func() { _ = connection.Close() }()
	acknowledged := l.watch(connection, over)
	writer := bufio.NewWriterSize(connection, l.transport.sizes.Buffer)
	hello := message.Encode(&message.Hello{Address: l.transport.address})
	_, _ = writer.Write(hello)
	idle, overdue := time.NewTimer(idleTimeout), time.NewTimer(idleTimeout)
	defer idle.Stop()
	defer overdue.Stop()
	// unacknowledged frames, and the bytes written since there were none.
	unacknowledged, unacknowledgedBytes := 0, 0
	next := &first
	for {
		if next != nil {
			frames, size, sound := l.writeBatch(connection, writer, *next)
			if !sound {
				l.lost()
				return
			}
			unacknowledgedBytes += size
			if unacknowledged == 0 || size > largeFrame {
				overdue.Reset(l.key.acknowledgedWithin(unacknowledgedBytes))
			}
			unacknowledged += frames
			idle.Reset(idleTimeout)
			next = nil
		}
		select {
		case item := <-l.queue:
			next = &item
		case count, open := <-acknowledged:
			if !open {
				l.lost()
				return
			}
			if unacknowledged -= count; unacknowledged == 0 {
				unacknowledgedBytes = 0
			}
			overdue.Reset(l.key.acknowledgedWithin(unacknowledgedBytes))
		case <-overdue.C:
			if unacknowledged > 0 {
				l.silent(connection)
				return
			}
		case <-idle.C:
			return
		case <-l.transport.ctx.Done():
			return
		}
	}
}

// acknowledgedWithin is how long frames of some bytes together may stay unacknowledged.
func (k lineKey) acknowledgedWithin(size int) time.Duration {
	transfer := time.Duration(size) * time.Second / slowestLink
	if k.control {
		return controlSilence + transfer
	}
	return querySilence + transfer
}

// silent gives up a connection on which nothing is acknowledged. What the machine still holds for it is dropped: news that arrives much later
// would pass for recent.
func (l *line) silent(connection net.Conn) {
	if socket, ok := connection.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	l.transport.Counters.SilentConnections.Add(1)
	go l.transport.handler.Silent(l.key.to)
	l.lost()
}

// watch returns how many more frames the peer has acknowledged; the channel closes when the peer closes the connection.
func (l *line) watch(connection net.Conn, over <-chan struct{}) <-chan int {
	acknowledged := make(chan int)
	l.transport.tasks.Go(func() {
		defer close(acknowledged)
		unregister := context.AfterFunc(l.transport.ctx, func() { _ = connection.Close() })
		defer unregister()
		var received [64]byte
		for {
			read, err := connection.Read(received[:])
			if err != nil {
				return
			}
			select {
			case acknowledged <- read:
			case <-over:
				return
			}
		}
	})
	return acknowledged
}

// writeBatch writes an item and all that is queued behind it, then flushes, and returns the frames and bytes that it wrote. After an error the
// peer may have got any of the batch.
func (l *line) writeBatch(connection net.Conn, writer *bufio.Writer, item queued) (frames, size int, sound bool) {
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	var batch []message.Message
	for {
		if encoded := l.encode(writer, item); encoded > 0 {
			batch = append(batch, item.message)
			size += encoded
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
		return 0, 0, false
	}
	return len(batch), size, true
}

// encode writes one frame into the buffer and returns its size, 0 for one that is not sent. A sub-query whose time ran out while it was queued, as
// in a process that was frozen, is not written any more.
func (l *line) encode(writer *bufio.Writer, item queued) int {
	elapsed := l.transport.clock.Elapsed() - item.at
	if sub, ok := item.message.(*message.SubQuery); ok {
		waited := uint64(elapsed.Microseconds())
		if waited >= sub.RemainingMicroseconds {
			l.transport.undelivered(l.key.to, item.message, false)
			return 0
		}
		shortened := *sub
		shortened.RemainingMicroseconds -= waited
		item.message = &shortened
	}
	if aged, ok := item.message.(message.Aged); ok {
		item.message = aged.WithAge(clock.Of(elapsed))
	}
	frame := message.Encode(item.message)
	if len(frame) > message.MaximumPayload {
		// The peer would close the connection for it, and others would lose what is under way there.
		l.transport.undelivered(l.key.to, item.message, false)
		return 0
	}
	_, _ = writer.Write(frame)
	counters := &l.transport.Counters
	counters.SentFrames.Add(1)
	counters.SentBytes.Add(uint64(len(frame)))
	if l.key.control {
		counters.SentControlBytes.Add(uint64(len(frame)))
	}
	return len(frame)
}

func (l *line) lost() {
	if !l.key.control {
		go l.transport.handler.Disconnected(l.key.to)
	}
}
