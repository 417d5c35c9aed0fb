package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/query"
)

// BenchmarkAttempt measures one attempt over connect and net/http on loopback, including the work of the back end's
// server.
func BenchmarkAttempt(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(stiletrailv1connect.NewBackEndServiceHandler(scriptedBackEnd{answer: func(request *stiletrailv1.QueryRequest) (*stiletrailv1.QueryResponse, error) {
		return validResponse(request), nil
	}}))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := NewClient(8)
	defer client.Close()
	sent := attempt
	sent.BackEnd = strings.TrimPrefix(server.URL, "http://")
	b.ReportAllocs()
	for b.Loop() {
		sent.Number++
		if result := client.Run(client.Register(context.Background(), sent.Number, time.Minute), sent); result.Status != query.StatusOK {
			b.Fatal(result.Status)
		}
	}
}
