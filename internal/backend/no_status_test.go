package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"stiletrail/internal/query"
)

// TestAnswerWithoutStatus: an answer whose status is none, which net/http hands out all the same, is no answer. The query may have
// run.
func TestAnswerWithoutStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "600", "999"} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				socket, err := listener.Accept()
				if err != nil {
					return
				}
				if request, err := http.ReadRequest(bufio.NewReader(socket)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(socket, "HTTP/1.1 "+status+" X\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
				}
				_ = socket.Close()
			}
		}()
		if got := run(t, listener.Addr().String()); got.Status != query.StatusLost {
			t.Errorf("%s: the status of the attempt is %v, want lost", status, got.Status)
		}
		_ = listener.Close()
	}
}
