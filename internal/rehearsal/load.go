package rehearsal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/api"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// LoadOptions configure an open-loop load: searches are sent at their scheduled times, whether earlier ones were answered or not.
type LoadOptions struct {
	Service string
	// Rate of searches per second. The gaps between them are exponentially distributed.
	Rate     float64
	Duration time.Duration
	// Index and Totals, where set, are what every answer is checked against. Totals holds the number of shards of each epoch.
	Index  *standin.Index
	Totals map[uint64]uint32
	// MaximumOutstanding limits the searches in flight and so the memory of the load generator. Searches over the limit are not
	// sent; the report counts them.
	MaximumOutstanding int
	Seed               uint64
}

// RunLoad sends searches to the nodes in turn and returns a report when all of them are answered.
func RunLoad(ctx context.Context, nodes []stiletrailv1connect.QueryServiceClient, options LoadOptions) Report {
	recorder := newRecorder()
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	outstanding := make(chan struct{}, max(options.MaximumOutstanding, 1))
	var tasks sync.WaitGroup
	started := time.Now()
	due := started
	for number := 0; time.Since(started) < options.Duration && ctx.Err() == nil; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		recorder.report.Searches++
		select {
		case outstanding <- struct{}{}:
		default:
			recorder.report.NotSent++
			continue
		}
		dueAt, node := due, nodes[number%len(nodes)]
		tasks.Go(func() {
			defer func() { <-outstanding }()
			searchOnce(ctx, node, options, fmt.Sprintf("q%d", number), dueAt, recorder)
		})
	}
	tasks.Wait()
	return recorder.finish(options.Duration)
}

func searchOnce(
	ctx context.Context, node stiletrailv1connect.QueryServiceClient, options LoadOptions, body string, due time.Time, recorder *recorder,
) {
	request := &stiletrailv1.SearchRequest{Service: options.Service, Query: []byte(body)}
	response, err := node.Search(ctx, connect.NewRequest(request))
	elapsed := time.Since(due)
	if err != nil {
		problem, _ := api.FromError(err)
		recorder.failed(elapsed, problem)
		return
	}
	answer := toAnswer(response.Msg)
	answer.Query = []byte(body)
	fault := standin.FaultNone
	if options.Index != nil {
		fault = options.Index.Check(answer, options.Totals)
	}
	recorder.answered(elapsed, answer.Coverage, fault)
}

// toAnswer converts a response into the form that standin.Index.Check takes.
func toAnswer(response *stiletrailv1.SearchResponse) standin.Answer {
	coverage := response.GetCoverage()
	answer := standin.Answer{
		Snapshot: query.Snapshot{Version: response.GetSnapshot().GetVersion(), Epoch: response.GetSnapshot().GetEpoch()},
		Coverage: query.Coverage{
			Total: coverage.GetShardsTotal(), TotalKnown: coverage.GetTotalKnown(), Answered: coverage.GetShardsAnswered(),
		},
	}
	for _, missing := range coverage.GetMissing() {
		lacking := query.Missing{Shard: missing.GetShard(), Reason: query.Reason(missing.GetReason())}
		answer.Coverage.Missing = append(answer.Coverage.Missing, lacking)
	}
	for _, document := range response.GetDocuments() {
		answer.Documents = append(answer.Documents, query.Document{Key: document.GetKey(), Body: document.GetBody()})
	}
	return answer
}
