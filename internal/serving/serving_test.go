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

// fakeNode has one request under way until it is released or given up.
type fakeNode struct {
	leaving  atomic.Bool
	gaveUp   atomic.Bool
	underWay atomic.Int64
}

func (n *fakeNode) Ready() bool                    { return !n.leaving.Load() }
func (n *fakeNode) Leave()                         { n.leaving.Store(true) }
func (n *fakeNode) FinishInFlight()                { n.gaveUp.Store(true) }
func (n *fakeNode) InFlight() int64                { return n.underWay.Load() }
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

// TestPlannedStop: the node is not ready at once, serves on, and ends without cutting anything short.
func TestPlannedStop(t *testing.T) {
	node := &fakeNode{}
	server, addresses := start(t, node)
	if got := status(t, addresses.Ready); got != 200 {
		t.Errorf("ready answers %d", got)
	}
	stopped := make(chan bool)
	go func() { stopped <- server.Stop(time.Minute) }()
	for !node.leaving.Load() {
		time.Sleep(time.Millisecond)
	}
	if got := status(t, addresses.Ready); got != 503 {
		t.Errorf("ready answers %d while it stops", got)
	}
	if got := status(t, addresses.Callers); got != 200 {
		t.Errorf("callers get %d while it stops", got)
	}
	http.DefaultClient.CloseIdleConnections()
	if !<-stopped {
		t.Error("something was cut short")
	}
}

// TestStopEndsInTime: what is still under way at the end is given up, and the stop says so.
func TestStopEndsInTime(t *testing.T) {
	node := &fakeNode{}
	node.underWay.Store(1)
	server, _ := start(t, node)
	if server.Stop(time.Second) || !node.gaveUp.Load() {
		t.Error("a request under way was not given up")
	}
}

// TestAddressTaken: a listener that cannot be had is a failure at the start.
func TestAddressTaken(t *testing.T) {
	node := &fakeNode{}
	_, addresses := start(t, node)
	if _, err := serving.Start(node, addresses, http.NotFoundHandler(), http.NotFoundHandler(), io.Discard); err == nil {
		t.Error("started twice at the same addresses")
	}
}

// TestLimitsFollowTheConfiguration: connections that come after the limits changed are bound by the new ones, and those there
// are go on.
func TestLimitsFollowTheConfiguration(t *testing.T) {
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
		t.Errorf("a short header is answered %d", got)
	}
	if got := status(&http.Client{Transport: &http.Transport{}}, 20<<10); got != 431 {
		t.Errorf("a header over the limit is answered %d", got)
	}
	node.limits.Store(&routing.Limits{HeaderBytes: 32 << 10})
	if got := status(&http.Client{Transport: &http.Transport{}}, 20<<10); got != 200 {
		t.Errorf("a header within the new limit is answered %d", got)
	}
	if got := status(early, 100); got != 200 {
		t.Errorf("a connection of before is answered %d", got)
	}
}

// limitedNode states limits that change.
type limitedNode struct {
	fakeNode
	limits atomic.Pointer[routing.Limits]
}

func (n *limitedNode) Limits() (routing.Limits, bool) { return *n.limits.Load(), true }
