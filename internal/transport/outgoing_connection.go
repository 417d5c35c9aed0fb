package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
)

// outgoingConnection is the state of one connection of a peerLink. Writes do not fail on a connection that no
// longer reaches the peer, since frames go into the kernel's send buffer. The peer therefore acknowledges each
// frame. A connection whose acknowledgements are late is closed and replaced by a new one.
type outgoingConnection struct {
	link       *peerLink
	connection net.Conn
	writer     *bufio.Writer
	// unacknowledged is the number of frames without an acknowledgement. unacknowledgedBytes is the number of bytes
	// written since that number was last 0.
	unacknowledged      int
	unacknowledgedBytes int
	// version is the version of the messages that the peer reads. withheld has the last message of each kind of which a
	// part was left out because the version was not known yet. They are sent again once it is.
	version  message.Version
	withheld map[message.Kind]queuedMessage
	// acknowledgementTimer fires when an acknowledgement is late, idleTimer when no frame has been sent for long.
	acknowledgementTimer *time.Timer
	idleTimer            *time.Timer
}

// write sends queued messages over one connection until it breaks, its acknowledgements are late, or it is idle.
func (l *peerLink) write(connection net.Conn, first queuedMessage) {
	done := make(chan struct{})
	defer close(done)
	defer func() { _ = connection.Close() }()
	acknowledged := l.readAcknowledgements(connection, done)
	s := &outgoingConnection{
		link: l, connection: connection, writer: bufio.NewWriterSize(connection, l.transport.sizes.Buffer),
		version: l.transport.peerVersion(l.key.to), withheld: map[message.Kind]queuedMessage{},
	}
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
		case received, open := <-acknowledged:
			if !open {
				// A process of another release may run at the peer's address next.
				l.transport.forgetPeerVersion(l.key.to)
				l.connectionLost()
				return
			}
			s.recordAcknowledged(received)
			if !s.sendWithheld() {
				return
			}
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

// send writes a message and all messages queued after it. It returns false if the connection must be closed.
func (s *outgoingConnection) send(item queuedMessage) bool {
	frames, size, ok := s.writeBatch(item)
	if !ok {
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

// sendWithheld sends again what was left out while the version of the peer was not known. It returns false if the connection
// must be closed.
func (s *outgoingConnection) sendWithheld() bool {
	if s.version == message.VersionUnknown {
		return true
	}
	for kind, item := range s.withheld {
		delete(s.withheld, kind)
		if !s.send(item) {
			return false
		}
	}
	return true
}

// recordAcknowledged records that the peer has read more frames.
func (s *outgoingConnection) recordAcknowledged(received acknowledgements) {
	if s.version != received.version {
		s.version = received.version
		s.link.transport.setPeerVersion(s.link.key.to, s.version)
	}
	if s.unacknowledged -= received.frames; s.unacknowledged == 0 {
		s.unacknowledgedBytes = 0
	}
	s.acknowledgementTimer.Reset(s.link.key.acknowledgementTimeout(s.unacknowledgedBytes))
}

// acknowledgementTimeout returns how long frames with a given total size may stay unacknowledged.
func (k peerLinkKey) acknowledgementTimeout(size int) time.Duration {
	transfer := time.Duration(size) * time.Second / minimumBandwidth
	if k.control {
		return controlAcknowledgementTimeout + transfer
	}
	return queryAcknowledgementTimeout + transfer
}

// closeSilent closes a connection whose acknowledgements are late. The data in its send buffer is discarded: if it
// arrived much later, the peer would take it for recent.
func (l *peerLink) closeSilent(connection net.Conn) {
	if socket, ok := connection.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	l.transport.Counters.SilentConnections.Add(1)
	go l.transport.handler.Silent(l.key.to)
	l.connectionLost()
}

// acknowledgements is what one read of a connection has returned: the number of frames that the peer has read, and the
// version of the messages that it reads.
type acknowledgements struct {
	frames  int
	version message.Version
}

// readAcknowledgements returns a channel of the acknowledgements of each read. The channel is closed when the peer closes
// the connection.
func (l *peerLink) readAcknowledgements(connection net.Conn, done <-chan struct{}) <-chan acknowledgements {
	acknowledged := make(chan acknowledgements)
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
			case acknowledged <- acknowledgements{frames: read, version: message.Version(received[read-1])}:
			case <-done:
				return
			}
		}
	})
	return acknowledged
}

// writeBatch writes a message and all messages queued after it, and flushes. It returns the number of frames and
// bytes written. After an error the peer may have received any part of the batch.
func (s *outgoingConnection) writeBatch(item queuedMessage) (frames, size int, ok bool) {
	l := s.link
	_ = s.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	var batch []message.Message
	for {
		if encoded := s.encode(item); encoded > 0 {
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
	if err := s.writer.Flush(); err != nil {
		for _, m := range batch {
			l.transport.reportUndelivered(l.key.to, m, true)
		}
		return 0, 0, false
	}
	return len(batch), size, true
}

// encode writes one frame into the buffer and returns its size, or 0 if the message is not sent. A sub-query whose
// time ran out while it was queued is not sent. This happens if the process was frozen.
func (s *outgoingConnection) encode(item queuedMessage) int {
	l := s.link
	if s.version == message.VersionUnknown && message.Repeatable(item.message) {
		s.withheld[item.message.Kind()] = item
	}
	elapsed := l.transport.clock.Elapsed() - item.queuedAt
	if sub, ok := item.message.(*message.SubQuery); ok {
		waited := uint64(elapsed.Microseconds())
		if waited >= sub.RemainingMicroseconds {
			l.transport.reportUndelivered(l.key.to, item.message, false)
			return 0
		}
		shortened := *sub
		shortened.RemainingMicroseconds -= waited
		item.message = &shortened
	}
	if aged, ok := item.message.(message.Aged); ok {
		item.message = aged.WithAge(clock.FromDuration(elapsed))
	}
	if versioned, ok := item.message.(message.Versioned); ok {
		item.message = versioned.For(s.version)
	}
	frame := message.Encode(item.message)
	if len(frame) > message.MaximumPayload {
		// The peer would close the connection because of this frame, and other requests in flight on it would be
		// lost.
		l.transport.reportUndelivered(l.key.to, item.message, false)
		return 0
	}
	_, _ = s.writer.Write(frame)
	counters := &l.transport.Counters
	counters.SentFrames.Add(1)
	counters.SentBytes.Add(uint64(len(frame)))
	if l.key.control {
		counters.SentControlBytes.Add(uint64(len(frame)))
	}
	return len(frame)
}
