package rehearsal

import (
	"context"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
)

type lease struct {
	expires    time.Time
	timeToLive time.Duration
	keys       []string
}

// GrantLease implements the key-value service. Keys written under a lease are deleted when it expires.
func (p *Platform) GrantLease(
	ctx context.Context, request *connect.Request[stiletrailv1.GrantLeaseRequest],
) (*connect.Response[stiletrailv1.GrantLeaseResponse], error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nextID++
	life := time.Duration(request.Msg.GetTimeToLiveMilliseconds()) * time.Millisecond
	p.leases[p.nextID] = &lease{expires: time.Now().Add(life), timeToLive: life}
	return connect.NewResponse(&stiletrailv1.GrantLeaseResponse{Lease: p.nextID}), nil
}

// KeepAlive implements the key-value service. It renews a lease for its full time to live.
func (p *Platform) KeepAlive(
	ctx context.Context, request *connect.Request[stiletrailv1.KeepAliveRequest],
) (*connect.Response[stiletrailv1.KeepAliveResponse], error) {
	if err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	held := p.leases[request.Msg.GetLease()]
	if held != nil {
		held.expires = time.Now().Add(held.timeToLive)
	}
	return connect.NewResponse(&stiletrailv1.KeepAliveResponse{Alive: held != nil}), nil
}

func (p *Platform) expireLeases() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id, held := range p.leases {
		if time.Now().Before(held.expires) {
			continue
		}
		for _, key := range held.keys {
			p.store.Delete(key)
		}
		delete(p.leases, id)
	}
}
