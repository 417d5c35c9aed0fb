package rehearsal

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/node"
	"stiletrail/internal/platform"
	"stiletrail/internal/settings"
)

const loopback = "127.0.0.1:0"

// ClusterOptions configure a cluster that runs in this process.
type ClusterOptions struct {
	Deployment   Deployment
	NodesPerZone int
	Log          io.Writer
	// Deadline of searches, for the services' intents.
	Deadline time.Duration
	Platform PlatformOptions
}

// Cluster runs nodes, back ends and the platform in this process. They communicate over loopback.
type Cluster struct {
	options  ClusterOptions
	Platform *Platform
	Nodes    []*node.Node
	// BackEnds and Totals hold the back ends and the number of shards of each service, by its name.
	BackEnds map[string][]*BackEnd
	Totals   map[string]uint32
	client   *http.Client
	log      *logrus.Entry
}

// keysPerShard is the average number of documents in a shard.
const keysPerShard = 6

// StartCluster starts the platform, the back ends and the nodes. The services are not configured yet.
func StartCluster(options ClusterOptions) (*Cluster, error) {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(options.Log)
	c := &Cluster{options: options, BackEnds: map[string][]*BackEnd{}, Totals: map[string]uint32{}, log: logrus.NewEntry(log)}
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	started, err := StartPlatform(loopback, options.Platform)
	if err != nil {
		return nil, err
	}
	c.Platform = started
	for _, shape := range options.Deployment.Services {
		if err := c.startBackEnds(shape); err != nil {
			return nil, err
		}
	}
	for _, zone := range options.Deployment.Zones {
		for range options.NodesPerZone {
			if _, err := c.StartNode(zone); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// startBackEnds starts the back ends of a service. Back end i holds shards i and i+1, so that each shard has two replicas.
func (c *Cluster) startBackEnds(shape ServiceOptions) error {
	total := uint32(shape.BackEnds)
	c.Totals[shape.Name] = total
	for i := range total {
		shards := []uint32{i, (i + 1) % total}
		if total == 1 {
			shards = shards[:1]
		}
		started, err := StartBackEnd(loopback, BackEndOptions{
			Service: shape.Name, Keys: keysPerShard * shape.BackEnds, Slots: shape.Slots, Connections: shape.Connections,
			Shards: shards, Total: total, Latency: shape.Latency,
		})
		if err != nil {
			return err
		}
		c.BackEnds[shape.Name] = append(c.BackEnds[shape.Name], started)
	}
	return nil
}

// StartNode starts a node in a zone. Its seeds are all nodes started before.
func (c *Cluster) StartNode(zone string) (*node.Node, error) {
	given := settings.DefaultNode()
	given.HTTPAddress, given.PeerAddress = loopback, loopback
	given.Zone = zone
	for _, other := range c.Nodes {
		given.Seeds = append(given.Seeds, other.PeerAddress())
	}
	client := platform.NewClient(c.client, c.Platform.URL())
	started, err := node.Start(node.Options{
		Settings: given, BackEnds: node.NewBackEnds(given), Store: client, Machines: client, Log: c.log,
	})
	if err == nil {
		c.Nodes = append(c.Nodes, started)
	}
	return started, err
}

// Close stops all nodes, back ends and the platform immediately, without a drain.
func (c *Cluster) Close() {
	var group errgroup.Group
	for _, n := range c.Nodes {
		group.Go(func() error {
			n.Kill()
			return nil
		})
	}
	_ = group.Wait()
	for _, backEnds := range c.BackEnds {
		for _, b := range backEnds {
			b.Close()
		}
	}
	c.Platform.Close()
	c.client.CloseIdleConnections()
}

// QueryClient returns a client of the query service at a node.
func (c *Cluster) QueryClient(n *node.Node) stiletrailv1connect.QueryServiceClient {
	return stiletrailv1connect.NewQueryServiceClient(c.client, "http://"+n.HTTPAddress())
}

// OperatorClient returns a client of the intent API at a node.
func (c *Cluster) OperatorClient(n *node.Node) stiletrailv1connect.OperatorServiceClient {
	return stiletrailv1connect.NewOperatorServiceClient(c.client, "http://"+n.HTTPAddress())
}

// Intent returns the intent of a service of the deployment as YAML text.
func (c *Cluster) Intent(shape ServiceOptions) string {
	deadline := c.options.Deadline.Milliseconds()
	text := fmt.Sprintf("service: %s\npreference: latency\nminimum_coverage: 0.5\n"+
		"deadline_milliseconds: %d\ntail_budget_milliseconds: %d\nback_ends:\n", shape.Name, deadline, deadline*3/4)
	for i, b := range c.BackEnds[shape.Name] {
		zone := c.options.Deployment.Zones[i%len(c.options.Deployment.Zones)]
		text += fmt.Sprintf("  - {address: \"%s\", zone: %s, slots: %d, connections: %d}\n",
			b.Address(), zone, shape.Slots, shape.Connections)
	}
	return text
}

// Apply plans an intent at a node and confirms the plan there.
func (c *Cluster) Apply(ctx context.Context, n *node.Node, text, operation string) (*stiletrailv1.ConfirmResponse, error) {
	operators := c.OperatorClient(n)
	plan, err := operators.Plan(ctx, connect.NewRequest(&stiletrailv1.PlanRequest{Intent: []byte(text)}))
	if err != nil {
		return nil, err
	}
	confirmed, err := operators.Confirm(ctx, connect.NewRequest(&stiletrailv1.ConfirmRequest{
		Intent: []byte(text), BaseVersion: plan.Msg.GetBaseVersion(), Digest: plan.Msg.GetDigest(),
		ExpiresUnixSeconds: plan.Msg.GetExpiresUnixSeconds(), Operation: operation,
	}))
	if err != nil {
		return nil, err
	}
	return confirmed.Msg, nil
}

// WaitFor polls every 5 ms until a condition holds on every node. It fails with DEADLINE_EXCEEDED when the context ends first.
func (c *Cluster) WaitFor(ctx context.Context, what string, holds func(*engine.Engine) bool) error {
	const poll = 5 * time.Millisecond
	for {
		all := true
		for _, n := range c.Nodes {
			n.Inspect(func(e *engine.Engine) { all = all && holds(e) })
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, "waiting until "+what)
		case <-time.After(poll):
		}
	}
}

// WaitReady waits until every node is ready and knows all other nodes.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return c.WaitFor(ctx, "all nodes are ready", func(e *engine.Engine) bool {
		return e.Ready() && len(e.Members()) >= len(c.Nodes)
	})
}

// WaitVersion waits until every node has this version of a service, or a later one, in force.
func (c *Cluster) WaitVersion(ctx context.Context, service string, version uint64) error {
	return c.WaitFor(ctx, service+" is in force", func(e *engine.Engine) bool { return e.Catalog().Version(service) >= version })
}
