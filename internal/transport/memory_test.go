package transport

import (
	"encoding/binary"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"stiletrail/internal/message"
)

// TestMemoryOfAnnouncedFrame guards against memory that is taken for a frame which a peer announces and does not send.
func TestMemoryOfAnnouncedFrame(t *testing.T) {
	receiver, _ := start(t)
	connection, err := net.Dial("tcp", receiver.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	header, err := binary.Append(nil, binary.BigEndian, message.Header{Magic: 0x5374, Protocol: 4, Length: message.MaximumPayload})
	if err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := connection.Write(append(header, "only a few bytes"...)); err != nil {
		t.Fatal(err)
	}
	// The receiver closes the connection after it has read the announced frame up to its end.
	_ = connection.(*net.TCPConn).CloseWrite()
	_ = connection.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := connection.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the connection was not closed: %v", err)
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > message.MaximumPayload/8 {
		t.Errorf("%d bytes were allocated for a frame of which a few bytes came", allocated)
	}
}
