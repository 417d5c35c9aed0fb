package rehearsal

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// Summary is the result of the quickstart. It is printed as JSON in the last line of the output.
type Summary struct {
	Searches         int     `json:"searches"`
	Complete         int     `json:"complete"`
	Partial          int     `json:"partial"`
	Refused          int     `json:"refused"`
	Failed           int     `json:"failed"`
	Wrong            int     `json:"wrong"`
	P50              float64 `json:"p50_ms"`
	P99              float64 `json:"p99_ms"`
	AttemptsPerShard float64 `json:"attempts_per_shard"`
	InForce          float64 `json:"in_force_ms"`
	Ok               bool    `json:"ok"`
}

const (
	quickstartDeadline = 250 * time.Millisecond
	quickstartRate     = 80
	quickstartPhase    = 1500 * time.Millisecond
	quickstartTimeout  = 50 * time.Second
)

// phase is a part of the quickstart in which a service is under load while a fault or a change happens.
type phase struct {
	name    string
	service string
	event   func(*quickstart, *BackEnd)
}

// quickstart is the state of one run.
type quickstart struct {
	cluster *Cluster
	out     io.Writer
	table   *tabwriter.Writer
	summary Summary
	version uint64
}

// Quickstart starts a cluster with embedded stand-ins, puts load on it under several faults, and writes a table and a JSON line.
// Errors are of type *failure.Failure.
func Quickstart(out, log io.Writer) (Summary, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quickstartTimeout)
	defer cancel()
	cluster, err := StartCluster(ClusterOptions{
		Deployment: quickstartDeployment(), NodesPerZone: 2, Log: log, Deadline: quickstartDeadline,
		Platform: PlatformOptions{RequestsPerSecond: 200, MachineListLag: time.Second},
	})
	if err != nil {
		return Summary{}, err
	}
	defer cluster.Close()
	q := &quickstart{cluster: cluster, out: out, version: 1}
	if err := q.configure(ctx); err != nil {
		return q.summary, err
	}
	q.table = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(q.table, "what goes on\tservice\tsearches\tcomplete\tpartial\trefused\tfailed\twrong\tp50 ms\tp99 ms\t")
	for _, p := range phases() {
		q.run(ctx, p)
	}
	if err := q.execute(ctx); err != nil {
		return q.summary, err
	}
	_ = q.table.Flush()
	q.finish()
	line, err := json.Marshal(q.summary)
	if err != nil {
		return q.summary, failure.From(err)
	}
	_, _ = fmt.Fprintln(out, string(line))
	return q.summary, nil
}

// configure plans and confirms an intent for each service. It waits until each is in force on every node.
func (q *quickstart) configure(ctx context.Context) error {
	if err := q.cluster.WaitReady(ctx); err != nil {
		return err
	}
	for i, shape := range q.cluster.options.Deployment.Services {
		started := time.Now()
		n := q.cluster.Nodes[i%len(q.cluster.Nodes)]
		confirmed, err := q.cluster.Apply(ctx, n, q.cluster.Intent(shape), "quickstart-"+shape.Name)
		if err != nil {
			return err
		}
		if err := q.cluster.WaitVersion(ctx, shape.Name, confirmed.GetVersion()); err != nil {
			return err
		}
		q.summary.InForce = max(q.summary.InForce, float64(time.Since(started).Microseconds())/1000)
	}
	_, _ = fmt.Fprintf(q.out, "%d services planned, confirmed and in force on %d nodes\n",
		len(q.cluster.options.Deployment.Services), len(q.cluster.Nodes))
	return nil
}

func phases() []phase {
	return []phase{
		{"healthy", "lookup-1", nil},
		{"healthy", "archive", nil},
		{"a back end straggles, 20 times slower", "archive", func(_ *quickstart, b *BackEnd) {
			b.WithModel(func(m *standin.BackEnd) { m.Latency.Median *= 20 })
		}},
		{"a back end is lost", "account", func(_ *quickstart, b *BackEnd) { b.Close() }},
		{"a back end drains", "trade-1", func(_ *quickstart, b *BackEnd) {
			b.WithModel(func(m *standin.BackEnd) { m.State = query.StateDraining })
		}},
		{"the index version changes", "lookup-2", func(q *quickstart, _ *BackEnd) { q.publish("lookup-2") }},
		{"the store is down", "lookup-3", func(q *quickstart, _ *BackEnd) { q.cluster.Platform.SetFaults(Faults{Down: true}) }},
	}
}

// publish publishes 20 new index versions, each to one back end of the service after the other.
func (q *quickstart) publish(service string) {
	const versions = 20
	for range versions {
		q.version++
		for _, b := range q.cluster.BackEnds[service] {
			b.WithModel(func(m *standin.BackEnd) { m.Publish(q.version) })
			time.Sleep(quickstartPhase / versions / 8)
		}
	}
}

func (q *quickstart) clients() []stiletrailv1connect.QueryServiceClient {
	var clients []stiletrailv1connect.QueryServiceClient
	for _, n := range q.cluster.Nodes {
		clients = append(clients, q.cluster.QueryClient(n))
	}
	return clients
}

func (q *quickstart) run(ctx context.Context, p phase) {
	if p.event != nil {
		go func() {
			time.Sleep(quickstartPhase / 4)
			p.event(q, q.cluster.BackEnds[p.service][0])
		}()
	}
	index := standin.Index{Service: p.service, Keys: keysPerShard * len(q.cluster.BackEnds[p.service])}
	report := RunLoad(ctx, q.clients(), LoadOptions{
		Service: p.service, Rate: quickstartRate, Duration: quickstartPhase, Index: &index,
		Totals: map[uint64]uint32{1: q.cluster.Totals[p.service]}, MaximumOutstanding: 512, Seed: 1,
	})
	_, _ = fmt.Fprintf(q.table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", p.name, p.service, report.Searches,
		report.Complete, report.Partial, report.Refused, report.Failed, report.Wrong, report.P50, report.P99)
	q.summary.Searches += report.Searches
	q.summary.Complete += report.Complete
	q.summary.Partial += report.Partial
	q.summary.Refused += report.Refused
	q.summary.Failed += report.Failed
	q.summary.Wrong += report.Wrong
	q.summary.P50 = max(q.summary.P50, report.P50)
	q.summary.P99 = max(q.summary.P99, report.P99)
}

// execute sends a request that is not repeatable through three nodes with the same ticket and counts how often it ran.
func (q *quickstart) execute(ctx context.Context) error {
	const service, key, body = "trade-2", "trade-2/00001", "honour-1"
	minted, err := q.cluster.QueryClient(q.cluster.Nodes[0]).MintTicket(ctx, connect.NewRequest(&stiletrailv1.MintTicketRequest{}))
	if err != nil {
		return failure.From(err)
	}
	request := &stiletrailv1.ExecuteRequest{
		Service: service, Key: key, Body: []byte(body), Ticket: minted.Msg.GetTicket(), DeadlineMilliseconds: 1000,
	}
	for _, n := range q.cluster.Nodes[:3] {
		if _, err := q.cluster.QueryClient(n).Execute(ctx, connect.NewRequest(request)); err != nil {
			return failure.From(err)
		}
	}
	ran := 0
	for _, b := range q.cluster.BackEnds[service] {
		b.WithModel(func(m *standin.BackEnd) { ran += m.ExecutionCounts[body] })
	}
	if ran != 1 {
		q.summary.Wrong++
	}
	_, _ = fmt.Fprintf(q.out, "a request that is not repeatable, sent through 3 nodes with one ticket, ran %d time(s)\n", ran)
	return nil
}

func (q *quickstart) finish() {
	var asked, attempts uint64
	for _, n := range q.cluster.Nodes {
		n.Inspect(func(e *engine.Engine) {
			asked += e.DispatchCounters().ShardsAsked
			attempts += e.DispatchCounters().ShardAttempts
		})
	}
	q.summary.AttemptsPerShard = float64(attempts) / float64(max(asked, 1))
	q.summary.Ok = q.summary.Wrong == 0 && q.summary.Complete > 0
}
