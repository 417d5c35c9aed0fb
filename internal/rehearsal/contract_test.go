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

// testTimeout bounds every wait of a test. It is far longer than any of them takes.
const testTimeout = time.Minute

// TestPlatformContract checks the platform stand-in through the client of package platform: reads, writes, listings, and the
// failure codes of a lost answer and of a platform that is down.
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
		t.Errorf("read of an absent key: found %t, want false; error %v", found, err)
	}
	first, swapped, err := client.CompareAndSwap(ctx, key, platform.Stamp{}, []byte("one"))
	if !swapped || err != nil {
		t.Fatalf("first write of a key: swapped %t, want true; error %v", swapped, err)
	}
	if present, swapped, err := client.CompareAndSwap(ctx, key, platform.Stamp{}, []byte("two")); swapped || err != nil || present.Stamp != first.Stamp {
		t.Errorf("write on an outdated base: swapped %t, want false; present entry %v, error %v", swapped, present, err)
	}
	if listed, err := client.List(ctx, platform.ServicePrefix); err != nil || len(listed) != 1 || len(listed[0].Value) != 0 || listed[0].Stamp != first.Stamp {
		t.Errorf("listing %v, want one entry without its value; error %v", listed, err)
	}

	started.SetFaults(Faults{AnswersToLose: 1})
	if _, _, err := client.CompareAndSwap(ctx, key, first.Stamp, []byte("two")); failure.CodeOf(err) != failure.OutcomeUnknown {
		t.Errorf("write whose answer is lost: error %v, want OUTCOME_UNKNOWN", err)
	}
	if entry, _, err := client.Get(ctx, key); err != nil || string(entry.Value) != "two" {
		t.Errorf("read after a write whose answer was lost: value %q, want \"two\"; error %v", entry.Value, err)
	}

	started.SetFaults(Faults{Down: true})
	if _, _, err := client.Get(ctx, key); failure.CodeOf(err) != failure.StoreUnavailable {
		t.Errorf("read while the platform is down: error %v, want STORE_UNAVAILABLE", err)
	}
	if _, _, err := client.CompareAndSwap(ctx, key, platform.Stamp{Version: 1}, nil); failure.CodeOf(err) != failure.OutcomeUnknown {
		t.Errorf("write while the platform is down: error %v, want OUTCOME_UNKNOWN", err)
	}
	if _, err := client.Machines(ctx); failure.CodeOf(err) != failure.StoreUnavailable {
		t.Errorf("machine list while the platform is down: error %v, want STORE_UNAVAILABLE", err)
	}
}

// TestRateLimit checks the code of a write over the store's rate limit. STORE_UNAVAILABLE says that the write had no effect.
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
		t.Errorf("write over the rate limit: error %v, want STORE_UNAVAILABLE", err)
	}
}

// TestWatch checks that a watch reports a write and fails with STORE_UNAVAILABLE when its context ends.
func TestWatch(t *testing.T) {
	started, err := StartPlatform(loopback, PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer started.Close()
	client := platform.NewClient(&http.Client{}, started.URL())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
	// The watch may not be registered yet. Write until it reports an event.
	for base := (platform.Stamp{}); len(seen) == 0 && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		written, _, err := client.CompareAndSwap(ctx, platform.ServicePrefix+"lookup", base, []byte("v"))
		if err != nil {
			t.Fatal(err)
		}
		base = written.Stamp
	}
	if entry := <-seen; string(entry.Value) != "v" {
		t.Errorf("watch event %v, want the value \"v\"", entry)
	}
	cancel()
	if err := <-ended; failure.CodeOf(err) != failure.StoreUnavailable {
		t.Errorf("the watch ended with %v, want STORE_UNAVAILABLE", err)
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := cluster.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return cluster, shape
}

// TestOperatorContract checks the failure code of each wrong request of an operator, and that each of them is refused as not run.
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
		{"intent over the size limit", oversized, failure.InvalidArgument},
		{"confirmed intent differs from the plan", confirm(changed, first, "a"), failure.PlanMismatch},
		{"no operation id", confirm(text, first, ""), failure.InvalidArgument},
		{"as planned", confirm(text, first, "b"), ""},
		{"the same operation again", confirm(text, first, "b"), ""},
		{"second operation on the same base", confirm(text, first, "c"), failure.Conflict},
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

// TestCallerContract checks the failure code of each wrong request of a caller. Only a ticket of an unknown node may leave the
// outcome unknown.
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
		{"minimum version that no back end holds", search(&stiletrailv1.SearchRequest{Service: shape.Name, MinimumVersion: 99}), failure.SnapshotUnavailable},
		{"oversized query", search(&stiletrailv1.SearchRequest{Service: shape.Name, Query: make([]byte, 2<<20)}), failure.InvalidArgument},
		{"no ticket", execute(nil), failure.TicketInvalid},
		{"ticket of an unknown node", execute(make([]byte, 60)), failure.OutcomeUnknown},
	}
	for _, c := range cases {
		problem, _ := api.FromError(c.err)
		if c.err == nil || problem.Code != c.code || problem.NotRun != (c.code != failure.OutcomeUnknown) {
			t.Errorf("%s: %v", c.name, c.err)
		}
	}
}

// TestBaseOfAnotherEra checks that a write fails if its base was read before the store was restored from a backup, although the
// restored store reuses the version number.
func TestBaseOfAnotherEra(t *testing.T) {
	started, err := StartPlatform("127.0.0.1:0", PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer started.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
		t.Errorf("write on an absent key of the earlier era as base: swapped %t, want false; error %v", swapped, err)
	}
	absent, found, err := client.Get(ctx, key)
	if found || err != nil || absent.Era != 1 {
		t.Errorf("read of an absent key: %+v, found %t, error %v, want era 1 and not found", absent, found, err)
	}
	again, swapped, err := client.CompareAndSwap(ctx, key, absent.Stamp, []byte("again"))
	if !swapped || err != nil || again.Version != lost.Version {
		t.Fatalf("write in the new era: %+v, swapped %t, error %v, want the version number of the lost write", again, swapped, err)
	}
	if _, swapped, err := client.CompareAndSwap(ctx, key, lost.Stamp, []byte("over it")); swapped || err != nil {
		t.Errorf("write on a version of the earlier era as base: swapped %t, want false; error %v", swapped, err)
	}
}
