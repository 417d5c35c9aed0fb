package transport

import (
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/history"
	"stiletrail/internal/message"
	"stiletrail/internal/networktest"
)

// memoryPerByte is how much memory the transport may take for each byte that a peer sends, with the lists and copies of decoded
// frames. memoryPerConnection is what it may take besides.
const (
	memoryPerByte       = 64
	memoryPerConnection = 1 << 20
)

// FuzzIncoming guards against peers that end the process or fill its memory by what they write to a connection: any bytes end in
// messages, in a violation of the protocol that is reported, or in the end of the connection.
func FuzzIncoming(f *testing.F) {
	hello := message.Encode(&message.Hello{Address: "a:1"})
	digest := message.Encode(&message.StoreDigest{Revision: history.At(1, 2), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 3, At: 4}})
	for _, sent := range [][]byte{nil, hello, append(hello, digest...), append(hello, digest[:len(digest)-1]...), digest, append(hello, 0xff, 0xff, 0xff)} {
		f.Add(sent)
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		synctest.Test(t, func(t *testing.T) {
			receiver := listenAt(t, networktest.New(1), "b:1")
			receiver.Serve(silentHandler{})
			remote, local := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, remote) }()
			done := make(chan struct{})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			go func() {
				receiver.receive(local)
				close(done)
			}()
			_, _ = remote.Write(sent)
			_ = remote.Close()
			<-done
			runtime.ReadMemStats(&after)
			if taken := after.TotalAlloc - before.TotalAlloc; taken > memoryPerConnection+memoryPerByte*uint64(len(sent)) {
				t.Errorf("%d bytes of a peer took %d bytes of memory", len(sent), taken)
			}
			receiver.Close()
		})
	})
}

// FuzzAcknowledgements guards against peers that end the process, or keep a connection that does not work, by the bytes that they
// send in the place of acknowledgements.
func FuzzAcknowledgements(f *testing.F) {
	for _, sent := range [][]byte{nil, {1}, {2, 2, 2}, {0}, {255}, make([]byte, 200)} {
		f.Add(sent)
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		synctest.Test(t, func(t *testing.T) {
			network := networktest.New(1)
			listener, err := network.Listen("b:1")
			if err != nil {
				t.Fatal(err)
			}
			sender := listenAt(t, network, "a:1")
			sender.Serve(silentHandler{})
			digest := &message.StoreDigest{Revision: history.At(1, 1), Confirmation: message.Confirmation{Confirmed: true, AgeMs: 1, At: 2}}
			sender.Send("b:1", digest)
			connection, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = connection.Write(sent)
			time.Sleep(time.Second)
			sender.Send("b:1", digest)
			time.Sleep(10 * time.Second)
			_ = connection.Close()
			_ = listener.Close()
			sender.Close()
		})
	})
}

// silentHandler implements Handler and does nothing.
type silentHandler struct{}

func (silentHandler) Message(string, message.Message)           {}
func (silentHandler) Undelivered(string, message.Message, bool) {}
func (silentHandler) Silent(string)                             {}
func (silentHandler) Disconnected(string)                       {}
func (silentHandler) Malformed(string, error)                   {}
