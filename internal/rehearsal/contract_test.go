package rehearsal

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/internal/api"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/standin"
)

// patience bounds what a test waits for; nothing depends on its length.
const patience = time.Minute

// TestPlatformContract: what the platform does, and what the adapter says of it.
func TestPlatformContract(t *testing.T) {
	ctx := context.Background()
	started, err := StartPlatform(loopback, PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer started.Close()
	client := platform.NewClient(&http.Client{}, started.URL())
	key := platform.ServicePrefix + "lookup"

	if _, found, err := client.Get(ctx, key); found || err != nil {
		t.Errorf("absent key: found %t, error %v", found, err)
	}
	first, swapped, err := client.CompareAndSwap(ctx, key, platform.Stamp{}, []byte("one"))
	if !swapped || err != nil {
		t.Fatalf("first write: swapped %t, error %v", swapped, err)
	}
	if present, swapped, err := client.CompareAndSwap(ctx, key, platform.Stamp{}, []byte("two")); swapped || err != nil || present.Stamp != first.Stamp {
		t.Errorf("write on an old base: swapped %t, present %v, error %v", swapped, present, err)
	}
	if listed, err := client.List(ctx, platform.ServicePrefix); err != nil || len(listed) != 1 || len(listed[0].Value) != 0 || listed[0].Stamp != first.Stamp {
		t.Errorf("list %v, error %v", listed, err)
	}

	started.SetFaults(Faults{AnswersToLose: 1})
	if _, _, err := client.CompareAndSwap(ctx, key, first.Stamp, []byte("two")); failure.CodeOf(err) != failure.OutcomeUnknown {
		t.Errorf("answer lost after the write: %v", err)
	}
	if entry, _, err := client.Get(ctx, key); err != nil || string(entry.Value) != "two" {
		t.Errorf("the write whose answer was lost: %s, error %v", entry.Value, err)
	}

	started.SetFaults(Faults{Down: true})
	if _, _, err := client.Get(ctx, key); failure.CodeOf(err) != failure.StoreUnavailable {
		t.Errorf("read while down: %v", err)
	}
	if _, _, err := client.CompareAndSwap(ctx, key, platform.Stamp{Version: 1}, nil); failure.CodeOf(err) != failure.OutcomeUnknown {
		t.Errorf("write while down: %v", err)
	}
	if _, err := client.Machines(ctx); failure.CodeOf(err) != failure.StoreUnavailable {
		t.Errorf("machine list while down: %v", err)
	}
}

// TestRateLimit: a write the store refused for its rate limit certainly did nothing.
func TestRateLimit(t *testing.T) {
	started, err := StartPlatform(loopback, PlatformOptions{RequestsPerSecond: 0.001})
	if err != nil {
		t.Fatal(err)
	}
	defer started.Close()
	client := platform.NewClient(&http.Client{}, started.URL())
	if _, _, err := client.Get(context.Background(), "k"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := client.CompareAndSwap(context.Background(), "k", platform.Stamp{}, nil); failure.CodeOf(err) != failure.StoreUnavailable {
		t.Errorf("write over the limit: %v", err)
	}
}

// TestWatch tells of writes until it is ended.
func TestWatch(t *testing.T) {
	started, err := StartPlatform(loopback, PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer started.Close()
	client := platform.NewClient(&http.Client{}, started.URL())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	seen := make(chan platform.Entry, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, platform.ServicePrefix, func(entry platform.Entry) {
			select {
			case seen <- entry:
			default:
			}
		})
	}()
	// The watch may not be registered yet: write until it tells.
	for base := (platform.Stamp{}); len(seen) == 0 && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		written, _, err := client.CompareAndSwap(ctx, platform.ServicePrefix+"lookup", base, []byte("v"))
		if err != nil {
			t.Fatal(err)
		}
		base = written.Stamp
	}
	if entry := <-seen; string(entry.Value) != "v" {
		t.Errorf("event %v", entry)
	}
	cancel()
	if err := <-ended; failure.CodeOf(err) != failure.StoreUnavailable {
		t.Errorf("ended with %v", err)
	}
}

func startSmall(t *testing.T) (*Cluster, ServiceOptions) {
	t.Helper()
	shape := ServiceOptions{Name: "lookup", BackEnds: 4, Slots: 5, Connections: 75, Latency: lookupLatency}
	cluster, err := StartCluster(ClusterOptions{
		Deployment: Deployment{Zones: []string{"zone-a"}, Services: []ServiceOptions{shape}}, NodesPerZone: 2,
		Log: io.Discard, Deadline: 2 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := cluster.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return cluster, shape
}

// TestOperatorContract: what operators send, and the typed answer they get.
func TestOperatorContract(t *testing.T) {
	cluster, shape := startSmall(t)
	ctx := context.Background()
	operators := cluster.OperatorClient(cluster.Nodes[0])
	text := cluster.Intent(shape)
	plan := func(text string) (*stiletrailv1.PlanResponse, error) {
		response, err := operators.Plan(ctx, connect.NewRequest(&stiletrailv1.PlanRequest{Intent: []byte(text)}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
	confirm := func(text string, p *stiletrailv1.PlanResponse, operation string) error {
		_, err := operators.Confirm(ctx, connect.NewRequest(&stiletrailv1.ConfirmRequest{
			Intent: []byte(text), BaseVersion: p.GetBaseVersion(), Digest: p.GetDigest(), ExpiresUnixSeconds: p.GetExpiresUnixSeconds(), Operation: operation,
		}))
		return err
	}
	first, err := plan(text)
	if err != nil {
		t.Fatal(err)
	}
	_, unknownField := plan(text + "colour: red\n")
	_, oversized := plan(text + "#" + strings.Repeat("x", 6<<20))
	changed := strings.Replace(text, "minimum_coverage: 0.5", "minimum_coverage: 0.6", 1)
	cases := []struct {
		name string
		err  error
		code failure.Code
	}{
		{"unknown field", unknownField, failure.InvalidArgument},
		{"oversized", oversized, failure.InvalidArgument},
		{"another intent than planned", confirm(changed, first, "a"), failure.PlanMismatch},
		{"no operation", confirm(text, first, ""), failure.InvalidArgument},
		{"as planned", confirm(text, first, "b"), ""},
		{"the same operation again", confirm(text, first, "b"), ""},
		{"another operation on the same base", confirm(text, first, "c"), failure.Conflict},
	}
	for _, c := range cases {
		if c.err == nil && c.code == "" {
			continue
		}
		problem, _ := api.FromError(c.err)
		if c.err == nil || problem.Code != c.code || !problem.NotRun {
			t.Errorf("%s: %v", c.name, c.err)
		}
	}
}

// TestCallerContract: what callers send, and the typed answer they get.
func TestCallerContract(t *testing.T) {
	cluster, shape := startSmall(t)
	ctx := context.Background()
	if _, err := cluster.Apply(ctx, cluster.Nodes[0], cluster.Intent(shape), "create"); err != nil {
		t.Fatal(err)
	}
	callers := cluster.QueryClient(cluster.Nodes[0])
	search := func(request *stiletrailv1.SearchRequest) error {
		_, err := callers.Search(ctx, connect.NewRequest(request))
		return err
	}
	execute := func(ticket []byte) error {
		_, err := callers.Execute(ctx, connect.NewRequest(&stiletrailv1.ExecuteRequest{Service: shape.Name, Key: "k", Ticket: ticket}))
		return err
	}
	cases := []struct {
		name string
		err  error
		code failure.Code
	}{
		{"unknown service", search(&stiletrailv1.SearchRequest{Service: "nothing"}), failure.UnknownService},
		{"a version that is not held yet", search(&stiletrailv1.SearchRequest{Service: shape.Name, MinimumVersion: 99}), failure.SnapshotUnavailable},
		{"oversized query", search(&stiletrailv1.SearchRequest{Service: shape.Name, Query: make([]byte, 2<<20)}), failure.InvalidArgument},
		{"no ticket", execute(nil), failure.TicketInvalid},
		{"a ticket of nobody", execute(make([]byte, 60)), failure.OutcomeUnknown},
	}
	for _, c := range cases {
		problem, _ := api.FromError(c.err)
		if c.err == nil || problem.Code != c.code || problem.NotRun != (c.code != failure.OutcomeUnknown) {
			t.Errorf("%s: %v", c.name, c.err)
		}
	}
}

// TestBaseOfAnotherEra: nothing is written over an entry that was read before the store came back from a copy, though its version
// is given out again.
func TestBaseOfAnotherEra(t *testing.T) {
	started, err := StartPlatform("127.0.0.1:0", PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer started.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	client := platform.NewClient(&http.Client{}, started.URL())
	key := platform.ServicePrefix + "lookup"
	var kept map[string]platform.Entry
	started.WithStore(func(s *standin.Store) { kept = s.Backup() })
	lost, _, err := client.CompareAndSwap(ctx, key, platform.Stamp{}, []byte("lost"))
	if err != nil {
		t.Fatal(err)
	}
	started.WithStore(func(s *standin.Store) { s.RestoreReusingVersions(kept) })
	if _, swapped, err := client.CompareAndSwap(ctx, key, platform.Stamp{}, []byte("read before")); swapped || err != nil {
		t.Errorf("an absent key of the earlier era is a base: %t, %v", swapped, err)
	}
	absent, found, err := client.Get(ctx, key)
	if found || err != nil || absent.Era != 1 {
		t.Errorf("read %+v, %t, %v", absent, found, err)
	}
	again, swapped, err := client.CompareAndSwap(ctx, key, absent.Stamp, []byte("again"))
	if !swapped || err != nil || again.Version != lost.Version {
		t.Fatalf("written %+v, %t, %v", again, swapped, err)
	}
	if _, swapped, err := client.CompareAndSwap(ctx, key, lost.Stamp, []byte("over it")); swapped || err != nil {
		t.Errorf("a version of the earlier era is a base: %t, %v", swapped, err)
	}
}
