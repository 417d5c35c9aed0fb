package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/membudget"
	"stiletrail/internal/message"
)

// acknowledgement is sent for each frame that was read. Its value is the version of the messages that this node reads.
var acknowledgement = []byte{byte(message.CurrentVersion)}

func (t *Transport) accept() {
	for {
		connection, err := t.listener.Accept()
		if t.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(retryDelay)
			continue
		}
		select {
		case t.incoming <- struct{}{}:
			t.tasks.Go(func() {
				defer func() { <-t.incoming }()
				t.receive(connection)
			})
		default:
			_ = connection.Close()
		}
	}
}

// receive reads frames until the connection ends or violates the protocol.
func (t *Transport) receive(connection net.Conn) {
	unregister := context.AfterFunc(t.ctx, func() { _ = connection.Close() })
	defer unregister()
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReaderSize(connection, t.sizes.Buffer)
	_ = connection.SetReadDeadline(time.Now().Add(helloTimeout))
	first, err := t.readFrame(connection, reader)
	hello, isHello := first.(*message.Hello)
	if err != nil || !isHello || hello.Address == "" {
		t.malformed(connection, err)
		return
	}
	for {
		_ = connection.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		m, err := t.readFrame(connection, reader)
		if err != nil {
			t.malformed(connection, err)
			return
		}
		_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := connection.Write(acknowledgement); err != nil {
			return
		}
		t.handler.Message(hello.Address, m)
	}
}

// malformed reports a violation of the protocol. The end of a connection is none.
func (t *Transport) malformed(connection net.Conn, err error) {
	if failure.CodeOf(err) != failure.Malformed {
		return
	}
	t.Counters.MalformedInput.Add(1)
	t.handler.Malformed(connection.RemoteAddr().String(), err)
}

func (t *Transport) readFrame(connection net.Conn, reader *bufio.Reader) (message.Message, error) {
	var encoded [message.HeaderSize]byte
	if _, err := io.ReadFull(reader, encoded[:]); err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, "the connection to the peer ended")
	}
	header, err := message.DecodeHeader(encoded[:])
	if err != nil {
		return nil, err
	}
	_ = connection.SetReadDeadline(time.Now().Add(payloadTimeout))
	payload, err := membudget.Read(reader, int64(header.Length))
	if err == nil && len(payload) < int(header.Length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, "the connection to the peer ended within a frame")
	}
	t.Counters.ReceivedFrames.Add(1)
	t.Counters.ReceivedBytes.Add(uint64(len(payload)) + message.HeaderSize)
	return message.DecodePayload(header, payload)
}
