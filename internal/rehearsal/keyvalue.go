package rehearsal

import (
	"context"
	"strings"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
)

func toProto(entry platform.Entry) *stiletrailv1.Entry {
	return &stiletrailv1.Entry{Key: entry.Key, Version: entry.Version, Era: entry.Era, Value: entry.Value}
}

// Get implements the key-value service. The response has the store's era also for an absent key.
func (p *Platform) Get(
	ctx context.Context, request *connect.Request[stiletrailv1.GetRequest],
) (*connect.Response[stiletrailv1.GetResponse], error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	response := &stiletrailv1.GetResponse{Era: p.store.Era()}
	if entry, found := p.store.Get(request.Msg.GetKey()); found {
		response.Entry = toProto(entry)
	}
	return connect.NewResponse(response), nil
}

// List implements the key-value service.
func (p *Platform) List(
	ctx context.Context, request *connect.Request[stiletrailv1.ListRequest],
) (*connect.Response[stiletrailv1.ListResponse], error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	response := &stiletrailv1.ListResponse{}
	for _, entry := range p.store.List(request.Msg.GetPrefix()) {
		if request.Msg.GetKeysOnly() {
			entry.Value = nil
		}
		response.Entries = append(response.Entries, toProto(entry))
	}
	return connect.NewResponse(response), nil
}

// CompareAndSwap implements the key-value service. Where a fault demands it, the write takes effect and its answer is lost.
func (p *Platform) CompareAndSwap(
	ctx context.Context, request *connect.Request[stiletrailv1.CompareAndSwapRequest],
) (*connect.Response[stiletrailv1.CompareAndSwapResponse], error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	base := platform.Stamp{Era: request.Msg.GetBaseEra(), Version: request.Msg.GetBaseVersion()}
	entry, swapped := p.store.CompareAndSwap(request.Msg.GetKey(), base, request.Msg.GetValue())
	if swapped {
		if held := p.leases[request.Msg.GetLease()]; held != nil {
			held.keys = append(held.keys, entry.Key)
		}
		p.notify(entry)
	}
	if swapped && p.faults.AnswersToLose > 0 {
		p.faults.AnswersToLose--
		return nil, connect.NewError(connect.CodeUnavailable, failure.New(failure.OutcomeUnknown, "the answer was lost"))
	}
	return connect.NewResponse(&stiletrailv1.CompareAndSwapResponse{Swapped: swapped, Entry: toProto(entry)}), nil
}

func (p *Platform) notify(entry platform.Entry) {
	if p.faults.DropEvents {
		return
	}
	for watcher, prefix := range p.watchers {
		if !strings.HasPrefix(entry.Key, prefix) {
			continue
		}
		select {
		case watcher <- entry:
		default:
		}
	}
}

// Watch implements the key-value service. A watcher whose queue of 256 events is full misses events.
func (p *Platform) Watch(
	ctx context.Context, request *connect.Request[stiletrailv1.WatchRequest], stream *connect.ServerStream[stiletrailv1.WatchResponse],
) error {
	if err := p.applyFaults(ctx); err != nil {
		return err
	}
	const queueLength = 256
	events := make(chan platform.Entry, queueLength)
	p.mutex.Lock()
	p.watchers[events] = request.Msg.GetPrefix()
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		delete(p.watchers, events)
		p.mutex.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.server.closing:
			return nil
		case entry := <-events:
			if err := stream.Send(&stiletrailv1.WatchResponse{Entry: toProto(entry)}); err != nil {
				return err
			}
		}
	}
}
