package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/api"
	"stiletrail/internal/failure"
	"stiletrail/internal/testio"
)

type node struct {
	*process
	http, peer, zone string
}

func (n node) ready() bool {
	response, err := http.Get("http://" + n.http + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n node) queryClient() stiletrailv1connect.QueryServiceClient {
	return stiletrailv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+n.http)
}

func (n node) operatorClient() stiletrailv1connect.OperatorServiceClient {
	return stiletrailv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.http)
}

func (n node) search(ctx context.Context) (*stiletrailv1.SearchResponse, *failure.Failure) {
	response, err := n.queryClient().Search(ctx, connect.NewRequest(&stiletrailv1.SearchRequest{Service: "lookup", Query: []byte("q")}))
	if err != nil {
		problem, _ := api.FromError(err)
		return nil, problem
	}
	return response.Msg, nil
}

func (n node) searchIsComplete() bool {
	answer, problem := n.search(context.Background())
	return problem == nil && answer.GetCoverage().GetShardsAnswered() == 4 && answer.GetCoverage().GetShardsTotal() == 4
}

// deployment consists of the platform, four back ends and three nodes in three zones, each in its own process.
type deployment struct {
	// flags are passed to every node in addition to the node's own.
	flags       []string
	platform    *process
	platformURL string
	backEnds    []*process
	nodes       []node
	intent      string
}

func deploy(t *testing.T, flags ...string) *deployment {
	t.Helper()
	addresses := testio.FreeAddresses(t, 11)
	d := &deployment{platformURL: "http://" + addresses[0], flags: flags}
	d.platform = start(t, "stiletrail-rehearsal", "platform", "--listen", addresses[0])
	d.intent = "service: lookup\npreference: coverage\nminimum_coverage: 0.25\ndeadline_milliseconds: 2000\nback_ends:\n"
	for i, address := range addresses[1:5] {
		d.backEnds = append(d.backEnds, start(t, "stiletrail-rehearsal", "backend", "--listen", address, "--service", "lookup",
			"--shards", fmt.Sprintf("%d,%d", i, (i+1)%4), "--shards-total", "4"))
		d.intent += fmt.Sprintf("  - {address: \"%s\", zone: zone-a, slots: 5, connections: 75}\n", address)
	}
	for i := range 3 {
		n := node{http: addresses[5+i], peer: addresses[8+i], zone: fmt.Sprintf("zone-%d", i)}
		d.nodes = append(d.nodes, n)
	}
	for i := range d.nodes {
		d.startNode(t, i)
	}
	for _, n := range d.nodes {
		eventually(t, "node is ready", n.ready)
	}
	return d
}

// startNode starts the process of a node. A node that was stopped is started again at its addresses.
func (d *deployment) startNode(t *testing.T, number int) {
	t.Helper()
	n := &d.nodes[number]
	var seeds []string
	for _, other := range d.nodes {
		seeds = append(seeds, other.peer)
	}
	arguments := []string{
		"--http-address", n.http, "--peer-address", n.peer, "--zone", n.zone, "--platform-url", d.platformURL,
		"--seeds", strings.Join(seeds, ","), "--probe-interval", "200ms", "--store-interval", "500ms",
	}
	n.process = start(t, "stiletraild", append(arguments, d.flags...)...)
}

// applyIntent plans and confirms the intent through a node and returns the accepted version. The deadline in milliseconds makes each
// change different from the others.
func (d *deployment) applyIntent(t *testing.T, through int, deadline int) uint64 {
	t.Helper()
	text := []byte(strings.Replace(d.intent, "deadline_milliseconds: 2000", fmt.Sprintf("deadline_milliseconds: %d", deadline), 1))
	operators := d.nodes[through].operatorClient()
	plan, err := operators.Plan(context.Background(), connect.NewRequest(&stiletrailv1.PlanRequest{Intent: text}))
	if err != nil {
		t.Fatal(err)
	}
	confirmed, err := operators.Confirm(context.Background(), connect.NewRequest(&stiletrailv1.ConfirmRequest{
		Intent: text, BaseVersion: plan.Msg.GetBaseVersion(), Digest: plan.Msg.GetDigest(),
		ExpiresUnixSeconds: plan.Msg.GetExpiresUnixSeconds(), Operation: fmt.Sprint("op-", deadline),
	}))
	if err != nil {
		t.Fatal(err)
	}
	return confirmed.Msg.GetVersion()
}

func (d *deployment) awaitInForce(t *testing.T, through int, version uint64, on uint32) {
	t.Helper()
	eventually(t, "version is in force", func() bool {
		status, err := d.nodes[through].operatorClient().Status(context.Background(), connect.NewRequest(&stiletrailv1.StatusRequest{Service: "lookup"}))
		return err == nil && len(status.Msg.GetServices()) == 1 && status.Msg.GetServices()[0].GetVersion() == version &&
			status.Msg.GetServices()[0].GetNodesInForce() >= on
	})
}
