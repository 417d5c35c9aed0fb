package serving_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"stiletrail/internal/routing"
	"stiletrail/internal/serving"
	"stiletrail/internal/testio"
)

// fakeNode is a node with a given number of requests in flight.
type fakeNode struct {
	leaving          atomic.Bool
	inFlightFinished atomic.Bool
	inFlight         atomic.Int64
}

func (n *fakeNode) Ready() bool                    { return !n.leaving.Load() }
func (n *fakeNode) Leave(time.Duration)            { n.leaving.Store(true) }
func (n *fakeNode) FinishInFlight()                { n.inFlightFinished.Store(true) }
func (n *fakeNode) InFlight() int64                { return n.inFlight.Load() }
func (n *fakeNode) Limits() (routing.Limits, bool) { return routing.Limits{}, false }

func start(t *testing.T, node *fakeNode) (*serving.Server, serving.Addresses) {
	t.Helper()
	addresses := serving.Addresses{Callers: testio.FreeAddress(t), Ready: testio.FreeAddress(t), Metrics: testio.FreeAddress(t)}
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) })
	server, err := serving.Start(node, addresses, hello, hello, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	return server, addresses
}

func status(t *testing.T, address string) int {
	t.Helper()
	response, err := http.Get("http://" + address + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestPlannedStop: a node that is being stopped reports that it is not ready, continues to serve, and ends with all
// requests completed.
func TestPlannedStop(t *testing.T) {
	node := &fakeNode{}
	server, addresses := start(t, node)
	if got := status(t, addresses.Ready); got != 200 {
		t.Errorf("the readiness request is answered with status %d, want 200", got)
	}
	stopped := make(chan bool)
	go func() { stopped <- server.Stop(time.Minute) }()
	for !node.leaving.Load() {
		time.Sleep(time.Millisecond)
	}
	if got := status(t, addresses.Ready); got != 503 {
		t.Errorf("during the stop the readiness request is answered with status %d, want 503", got)
	}
	if got := status(t, addresses.Callers); got != 200 {
		t.Errorf("during the stop a caller's request is answered with status %d, want 200", got)
	}
	http.DefaultClient.CloseIdleConnections()
	if !<-stopped {
		t.Error("Stop reports that requests were not completed")
	}
}

// TestStopFinishesRequestsInFlight: requests still in flight at the end of the stop time are answered at once, and
// Stop reports that not all requests were completed.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	node := &fakeNode{}
	node.inFlight.Store(1)
	server, _ := start(t, node)
	if server.Stop(time.Second) || !node.inFlightFinished.Load() {
		t.Error("Stop reports that all requests were completed, or did not end the request in flight")
	}
}

// TestHeadsAreBounded guards against a request whose head fills the memory of the process, at each of the addresses.
func TestHeadsAreBounded(t *testing.T) {
	_, addresses := start(t, &fakeNode{})
	for _, address := range []string{addresses.Callers, addresses.Ready, addresses.Metrics} {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+"/ready", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Long", strings.Repeat("x", 128<<10))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a head of 128 kB is answered with status %d, want 431", response.StatusCode)
		}
	}
}

// TestAddressTaken: Start fails if an address is already in use.
func TestAddressTaken(t *testing.T) {
	node := &fakeNode{}
	_, addresses := start(t, node)
	if _, err := serving.Start(node, addresses, http.NotFoundHandler(), http.NotFoundHandler(), io.Discard); err == nil {
		t.Error("a second server started on addresses that are in use")
	}
}

// TestNewLimitsApplyToNewConnections: connections accepted after a change of the limits are bound by the new
// limits. Connections accepted before it continue.
func TestNewLimitsApplyToNewConnections(t *testing.T) {
	node := &limitedNode{}
	node.limits.Store(&routing.Limits{HeaderBytes: 8 << 10})
	addresses := serving.Addresses{Callers: testio.FreeAddress(t), Ready: testio.FreeAddress(t)}
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) })
	if _, err := serving.Start(node, addresses, hello, nil, io.Discard); err != nil {
		t.Fatal(err)
	}
	status := func(client *http.Client, size int) int {
		request, _ := http.NewRequest(http.MethodGet, "http://"+addresses.Callers, nil)
		request.Header.Set("X-Long", strings.Repeat("x", size))
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode
	}
	early := &http.Client{Transport: &http.Transport{}}
	if got := status(early, 100); got != 200 {
		t.Errorf("a request with a short header is answered with status %d, want 200", got)
	}
	if got := status(&http.Client{Transport: &http.Transport{}}, 20<<10); got != 431 {
		t.Errorf("a request with a header above the limit is answered with status %d, want 431", got)
	}
	node.limits.Store(&routing.Limits{HeaderBytes: 32 << 10})
	if got := status(&http.Client{Transport: &http.Transport{}}, 20<<10); got != 200 {
		t.Errorf("a request with a header within the new limit is answered with status %d, want 200", got)
	}
	if got := status(early, 100); got != 200 {
		t.Errorf("a request on an earlier connection is answered with status %d, want 200", got)
	}
}

// limitedNode is a node whose limits can be changed.
type limitedNode struct {
	fakeNode
	limits atomic.Pointer[routing.Limits]
}

func (n *limitedNode) Limits() (routing.Limits, bool) { return *n.limits.Load(), true }
