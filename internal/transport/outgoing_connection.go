package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// sending is what a line has written to one connection. No write tells of silence: frames go into the machine's own
// buffer. So the peer acknowledges each one, and a connection on which that takes too long is given up for a new one.
type outgoingConnection struct {
	link       *peerLink
	connection net.Conn
	writer     *bufio.Writer
	// unacknowledged frames, and the bytes written since there were none.
	unacknowledged      int
	unacknowledgedBytes int
	// overdue fires when an acknowledgement is missing for too long, idle when nothing was sent for long.
	acknowledgementTimer *time.Timer
	idleTimer            *time.Timer
}

// write sends what is queued over one connection until it breaks, falls silent or is idle.
func (l *peerLink) write(connection net.Conn, first queuedMessage) {
	over := make(chan struct{})
	defer close(over)
	defer func() { _ = connection.Close() }()
	acknowledged := l.readAcknowledgements(connection, over)
	s := &outgoingConnection{link: l, connection: connection, writer: bufio.NewWriterSize(connection, l.transport.sizes.Buffer)}
	hello := message.Encode(&message.Hello{Address: l.transport.address})
	_, _ = s.writer.Write(hello)
	s.idleTimer, s.acknowledgementTimer = time.NewTimer(idleTimeout), time.NewTimer(idleTimeout)
	defer s.idleTimer.Stop()
	defer s.acknowledgementTimer.Stop()
	if !s.send(first) {
		return
	}
	for {
		select {
		case item := <-l.queue:
			if !s.send(item) {
				return
			}
		case count, open := <-acknowledged:
			if !open {
				l.connectionLost()
				return
			}
			s.recordAcknowledged(count)
		case <-s.acknowledgementTimer.C:
			if s.unacknowledged > 0 {
				l.closeSilent(connection)
				return
			}
		case <-s.idleTimer.C:
			return
		case <-l.transport.ctx.Done():
			return
		}
	}
}

// send writes an item and all that is queued behind it; false ends the connection.
func (s *outgoingConnection) send(item queuedMessage) bool {
	frames, size, sound := s.link.writeBatch(s.connection, s.writer, item)
	if !sound {
		s.link.connectionLost()
		return false
	}
	s.unacknowledgedBytes += size
	if s.unacknowledged == 0 || size > largeFrame {
		s.acknowledgementTimer.Reset(s.link.key.acknowledgementTimeout(s.unacknowledgedBytes))
	}
	s.unacknowledged += frames
	s.idleTimer.Reset(idleTimeout)
	return true
}

// acknowledged takes in that the peer has read more frames.
func (s *outgoingConnection) recordAcknowledged(frames int) {
	if s.unacknowledged -= frames; s.unacknowledged == 0 {
		s.unacknowledgedBytes = 0
	}
	s.acknowledgementTimer.Reset(s.link.key.acknowledgementTimeout(s.unacknowledgedBytes))
}

// acknowledgedWithin is how long frames of some bytes together may stay unacknowledged.
func (k peerLinkKey) acknowledgementTimeout(size int) time.Duration {
	transfer := time.Duration(size) * time.Second / minimumBandwidth
	if k.control {
		return controlAcknowledgementTimeout + transfer
	}
	return queryAcknowledgementTimeout + transfer
}

// silent gives up a connection on which nothing is acknowledged. What the machine still holds for it is dropped: news
// that arrives much later would pass for recent.
func (l *peerLink) closeSilent(connection net.Conn) {
	if socket, ok := connection.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	l.transport.Counters.SilentConnections.Add(1)
	go l.transport.handler.Silent(l.key.to)
	l.connectionLost()
}

// watch returns how many more frames the peer has acknowledged; the channel closes when the peer closes the connection.
func (l *peerLink) readAcknowledgements(connection net.Conn, over <-chan struct{}) <-chan int {
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

// writeBatch writes an item and all that is queued behind it, then flushes, and returns the frames and bytes that it
// wrote. After an error the peer may have got any of the batch.
func (l *peerLink) writeBatch(connection net.Conn, writer *bufio.Writer, item queuedMessage) (frames, size int, sound bool) {
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

// encode writes one frame into the buffer and returns its size, 0 for one that is not sent. A sub-query whose time ran
// out while it was queued, as in a process that was frozen, is not written any more.
func (l *peerLink) encode(writer *bufio.Writer, item queuedMessage) int {
	elapsed := l.transport.clock.Elapsed() - item.queuedAt
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
		item.message = aged.WithAge(clock.FromDuration(elapsed))
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
