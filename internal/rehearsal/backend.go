package rehearsal

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// BackEndOptions configure a back-end stand-in. Keys is the number of documents of the service, Total its number of shards, and
// Shards are those that this back end holds.
type BackEndOptions struct {
	Service     string
	Keys        int
	Slots       int
	Connections int
	Shards      []uint32
	Total       uint32
	Latency     standin.Latency
}

// BackEnd serves a model of a back end over HTTP.
type BackEnd struct {
	server *server
	mutex  sync.Mutex
	model  *standin.BackEnd
}

// StartBackEnd starts a back end that listens on the address.
func StartBackEnd(address string, options BackEndOptions) (*BackEnd, error) {
	index := standin.Index{Service: options.Service, Keys: options.Keys}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	b := &BackEnd{}
	b.model = standin.NewBackEnd(index, address, options.Slots, options.Latency, options.Total, options.Shards, random)
	mux := http.NewServeMux()
	mux.Handle(stiletrailv1connect.NewBackEndServiceHandler(b))
	mux.HandleFunc("/control", b.control)
	started, err := startServer(address, mux, options.Connections)
	if err != nil {
		return nil, err
	}
	b.server = started
	b.model.Address = started.address
	return b, nil
}

// Address returns the address on which the back end listens.
func (b *BackEnd) Address() string { return b.server.address }

// Close closes the listener and all connections immediately.
func (b *BackEnd) Close() { b.server.close() }

// WithModel calls a function with the model, under the mutex.
func (b *BackEnd) WithModel(use func(*standin.BackEnd)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	use(b.model)
}

// control changes the back end by the parameters of an HTTP request: state=draining|serving|cold, lie=serving (the state that
// its description reports), version=7, straggler-factor=20, straggler-chance=0.1, epoch=2&total=8&shards=0,1.
func (b *BackEnd) control(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	states := map[string]query.State{"draining": query.StateDraining, "serving": query.StateServing, "cold": query.StateCold}
	for name, values := range r.URL.Query() {
		value := values[0]
		switch name {
		case "state":
			b.model.State = states[value]
		case "lie":
			b.model.ReportedState = states[value]
		case "version":
			version, _ := strconv.ParseUint(value, 10, 64)
			b.model.Publish(version)
		case "straggler-factor":
			b.model.Latency.StragglerFactor, _ = strconv.ParseFloat(value, 64)
		case "straggler-chance":
			b.model.Latency.StragglerChance, _ = strconv.ParseFloat(value, 64)
		}
	}
	if epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64); err == nil {
		total, _ := strconv.ParseUint(r.URL.Query().Get("total"), 10, 32)
		b.model.Repartition(epoch, uint32(total), ParseShards(r.URL.Query().Get("shards")))
	}
	w.WriteHeader(http.StatusOK)
}

// ParseShards parses a list of shard numbers such as "0,1,2". Parts that are not numbers are ignored.
func ParseShards(text string) []uint32 {
	var shards []uint32
	for _, part := range strings.Split(text, ",") {
		if number, err := strconv.ParseUint(strings.TrimSpace(part), 10, 32); err == nil {
			shards = append(shards, uint32(number))
		}
	}
	return shards
}

var statuses = map[query.Status]stiletrailv1.QueryStatus{
	query.StatusOK:                 stiletrailv1.QueryStatus_QUERY_STATUS_OK,
	query.StatusShed:               stiletrailv1.QueryStatus_QUERY_STATUS_SHED,
	query.StatusDraining:           stiletrailv1.QueryStatus_QUERY_STATUS_DRAINING,
	query.StatusVersionUnavailable: stiletrailv1.QueryStatus_QUERY_STATUS_VERSION_UNAVAILABLE,
	query.StatusNotHeld:            stiletrailv1.QueryStatus_QUERY_STATUS_NOT_HELD,
	query.StatusExpired:            stiletrailv1.QueryStatus_QUERY_STATUS_EXPIRED,
}

// Query implements the back-end service: the model decides the answer and the service time.
func (b *BackEnd) Query(
	ctx context.Context, request *connect.Request[stiletrailv1.QueryRequest],
) (*connect.Response[stiletrailv1.QueryResponse], error) {
	attempt := query.Attempt{
		Number: request.Msg.GetAttempt(), Generation: request.Msg.GetGeneration(), Service: request.Msg.GetService(),
		Shards:   request.Msg.GetShards(),
		Snapshot: query.Snapshot{Version: request.Msg.GetVersion(), Epoch: request.Msg.GetEpoch()},
		Body:     request.Msg.GetQuery(), Execute: request.Msg.GetExecute(),
	}
	b.mutex.Lock()
	remaining := time.Duration(request.Msg.GetRemainingMilliseconds()) * time.Millisecond
	result, serviceTime, works := b.model.Arrive(attempt, remaining)
	b.mutex.Unlock()
	if works {
		err := sleep(ctx, serviceTime)
		b.WithModel(func(model *standin.BackEnd) { model.Finish() })
		if err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(toResponse(attempt, result)), nil
}

func sleep(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

func toResponse(attempt query.Attempt, result query.AttemptResult) *stiletrailv1.QueryResponse {
	response := &stiletrailv1.QueryResponse{
		Generation: attempt.Generation, Attempt: attempt.Number, Status: statuses[result.Status],
		Version: result.Snapshot.Version, Epoch: result.Snapshot.Epoch, Holding: toHolding(result.Holding),
		RetryAfterMilliseconds: uint32(result.RetryAfter.Milliseconds()),
	}
	response.Checksum, response.DocumentCount = query.Checksum(result.Results)
	for _, shard := range result.Results {
		converted := &stiletrailv1.ShardDocuments{Shard: shard.Shard}
		for _, document := range shard.Documents {
			held := &stiletrailv1.BackEndDocument{Key: document.Key, Body: document.Body}
			converted.Documents = append(converted.Documents, held)
		}
		response.Results = append(response.Results, converted)
	}
	return response
}

func toHolding(holding query.Holding) *stiletrailv1.Holding {
	return &stiletrailv1.Holding{
		State: stiletrailv1.BackEndState(holding.State), Epoch: holding.Epoch, ShardsTotal: holding.ShardsTotal,
		Shards: holding.Shards, OldestVersion: holding.OldestVersion, NewestVersion: holding.NewestVersion,
	}
}

// Describe implements the back-end service: it returns the state, shards and versions that the model reports.
func (b *BackEnd) Describe(
	_ context.Context, _ *connect.Request[stiletrailv1.DescribeRequest],
) (*connect.Response[stiletrailv1.DescribeResponse], error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return connect.NewResponse(&stiletrailv1.DescribeResponse{Holding: toHolding(b.model.Holding())}), nil
}
