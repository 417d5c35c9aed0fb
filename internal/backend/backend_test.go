package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/query"
	"stiletrail/internal/testio"
)

// scriptedBackEnd is a back end whose answers are set by a test.
type scriptedBackEnd struct {
	stiletrailv1connect.UnimplementedBackEndServiceHandler
	answer func(*stiletrailv1.QueryRequest) (*stiletrailv1.QueryResponse, error)
}

// Query implements the back-end service.
func (s scriptedBackEnd) Query(_ context.Context, request *connect.Request[stiletrailv1.QueryRequest]) (*connect.Response[stiletrailv1.QueryResponse], error) {
	response, err := s.answer(request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// validResponse returns a complete answer to a request, with one document of one shard.
func validResponse(request *stiletrailv1.QueryRequest) *stiletrailv1.QueryResponse {
	response := &stiletrailv1.QueryResponse{
		Generation: request.GetGeneration(), Attempt: request.GetAttempt(), Status: stiletrailv1.QueryStatus_QUERY_STATUS_OK,
		Version: request.GetVersion(), Epoch: request.GetEpoch(),
		Results: []*stiletrailv1.ShardDocuments{{Shard: 3, Documents: []*stiletrailv1.BackEndDocument{{Key: "k", Body: []byte("b")}}}},
	}
	response.Checksum, response.DocumentCount = query.Checksum([]query.ShardDocuments{{Shard: 3, Documents: []query.Document{{Key: "k", Body: []byte("b")}}}})
	return response
}

var attempt = query.Attempt{Number: 9, Generation: 4, Service: "lookup", Shards: []uint32{3}, Snapshot: query.Snapshot{Version: 2, Epoch: 1}}

func run(t *testing.T, address string) query.AttemptResult {
	t.Helper()
	client := NewClient(4)
	defer client.Close()
	sent := attempt
	sent.BackEnd = address
	return client.Run(client.Register(context.Background(), sent.Number, 5*time.Second), sent)
}

// TestAnswers checks the status that each kind of answer gives. An answer that is incomplete, altered, or to another
// attempt must be invalid, so that it never becomes part of a search's result.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name   string
		change func(*stiletrailv1.QueryResponse)
		want   query.Status
	}{
		{"valid", func(*stiletrailv1.QueryResponse) {}, query.StatusOK},
		{"another attempt", func(r *stiletrailv1.QueryResponse) { r.Attempt++ }, query.StatusInvalid},
		{"another process of the node", func(r *stiletrailv1.QueryResponse) { r.Generation++ }, query.StatusInvalid},
		{"missing document", func(r *stiletrailv1.QueryResponse) { r.Results[0].Documents = nil }, query.StatusInvalid},
		{"altered document", func(r *stiletrailv1.QueryResponse) { r.Results[0].Documents[0].Body = []byte("x") }, query.StatusInvalid},
		{"wrong checksum", func(r *stiletrailv1.QueryResponse) { r.Checksum++ }, query.StatusInvalid},
		{"wrong document count", func(r *stiletrailv1.QueryResponse) { r.DocumentCount++ }, query.StatusInvalid},
		{"no status", func(r *stiletrailv1.QueryResponse) { r.Status = 0 }, query.StatusInvalid},
		{"unknown status", func(r *stiletrailv1.QueryResponse) { r.Status = 99 }, query.StatusInvalid},
		{"shed", func(r *stiletrailv1.QueryResponse) { r.Status = stiletrailv1.QueryStatus_QUERY_STATUS_SHED }, query.StatusShed},
		{"draining", func(r *stiletrailv1.QueryResponse) { r.Status = stiletrailv1.QueryStatus_QUERY_STATUS_DRAINING }, query.StatusDraining},
		{"expired", func(r *stiletrailv1.QueryResponse) { r.Status = stiletrailv1.QueryStatus_QUERY_STATUS_EXPIRED }, query.StatusExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(stiletrailv1connect.NewBackEndServiceHandler(scriptedBackEnd{answer: func(request *stiletrailv1.QueryRequest) (*stiletrailv1.QueryResponse, error) {
				response := validResponse(request)
				c.change(response)
				return response, nil
			}}))
			server := httptest.NewServer(mux)
			defer server.Close()
			if result := run(t, strings.TrimPrefix(server.URL, "http://")); result.Status != c.want {
				t.Errorf("status %d, want %d", result.Status, c.want)
			}
		})
	}
}

// TestAnswerHeadTooLarge guards against an answer whose head fills the memory of the process. The attempt is lost.
func TestAnswerHeadTooLarge(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(stiletrailv1connect.NewBackEndServiceHandler(scriptedBackEnd{answer: func(request *stiletrailv1.QueryRequest) (*stiletrailv1.QueryResponse, error) {
		return validResponse(request), nil
	}}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*maximumHead))
		mux.ServeHTTP(w, r)
	}))
	defer server.Close()
	if result := run(t, strings.TrimPrefix(server.URL, "http://")); result.Status != query.StatusLost {
		t.Errorf("status %d, want %d", result.Status, query.StatusLost)
	}
}

// startFaultyBackEnd listens on a free port and calls handle with each connection. It returns the address, and the
// counter of the requests that arrived, which handle increments.
func startFaultyBackEnd(t *testing.T, handle func(connection net.Conn, requests *atomic.Int64)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(connection, requests)
		}
	}()
	return listener.Addr().String(), requests
}

// readRequest reads one complete request and counts it. It returns false if the connection ends before.
func readRequest(connection net.Conn, requests *atomic.Int64) bool {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	requests.Add(1)
	return true
}

// TestNoSilentResend checks that a request whose connection is lost after it was written reaches the back end only
// once and is reported as lost, on new connections and on reused ones. An HTTP client that resends such a request by
// itself would make the back end run it twice.
func TestNoSilentResend(t *testing.T) {
	address, requests := startFaultyBackEnd(t, func(connection net.Conn, requests *atomic.Int64) {
		defer func() { _ = connection.Close() }()
		if !readRequest(connection, requests) {
			return
		}
		// The first request on a connection is answered, so that the connection is reused. After the second one the
		// connection is closed without an answer.
		_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
		readRequest(connection, requests)
	})
	client := NewClient(1)
	defer client.Close()
	sent := attempt
	sent.BackEnd = address
	for number := range uint64(10) {
		sent.Number = number + 1
		result := client.Run(client.Register(context.Background(), sent.Number, 5*time.Second), sent)
		if result.Status != query.StatusLost {
			t.Errorf("status %d, want lost", result.Status)
		}
	}
	if got := requests.Load(); got != 10 {
		t.Errorf("10 attempts reached the back end %d times, want 10", got)
	}
}

// TestNotSentOnlyWithoutConnection checks that an attempt is reported as not sent if the connection was refused, and as
// lost if the back end accepted the connection and closed it. In the second case the request may have been written.
func TestNotSentOnlyWithoutConnection(t *testing.T) {
	address := testio.FreeAddress(t)
	if result := run(t, address); result.Status != query.StatusNotSent {
		t.Errorf("refused connection: status %d, want not sent", result.Status)
	}
	closing, _ := startFaultyBackEnd(t, func(connection net.Conn, _ *atomic.Int64) { _ = connection.Close() })
	if result := run(t, closing); result.Status != query.StatusLost {
		t.Errorf("closed connection: status %d, want lost", result.Status)
	}
}

// TestCancelEndsAttempt checks that Cancel ends an attempt that the back end never answers, long before its deadline
// of one minute.
func TestCancelEndsAttempt(t *testing.T) {
	arrived := make(chan struct{})
	address, _ := startFaultyBackEnd(t, func(connection net.Conn, requests *atomic.Int64) {
		readRequest(connection, requests)
		close(arrived)
	})
	client := NewClient(1)
	defer client.Close()
	sent := attempt
	sent.BackEnd = address
	ctx := client.Register(context.Background(), sent.Number, time.Minute)
	go func() {
		<-arrived
		client.Cancel(sent.Number)
	}()
	if result := client.Run(ctx, sent); result.Status != query.StatusLost {
		t.Errorf("status %d, want lost", result.Status)
	}
}
