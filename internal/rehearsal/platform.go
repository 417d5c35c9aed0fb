// Package rehearsal runs stand-ins of back ends and the platform, whole clusters on loopback, and load against them.
package rehearsal

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/standin"
)

// Faults are what is wrong with the platform now.
type Faults struct {
	// Down refuses every request.
	Down bool
	// Slow delays every request.
	Slow time.Duration
	// LoseAnswers of so many writes that took effect.
	LoseAnswers int
	// LoseEvents drops all events of watches.
	LoseEvents bool
}

// PlatformOptions of a platform stand-in.
type PlatformOptions struct {
	// RequestsPerSecond is the rate limit; zero for none.
	RequestsPerSecond float64
	// MachineListLag is how old the machine list is that is given out.
	MachineListLag time.Duration
}

type machineListAt struct {
	at       time.Time
	machines []platform.Machine
}

type lease struct {
	expires time.Time
	life    time.Duration
	keys    []string
}

// Platform serves the key-value service and the machine list.
type Platform struct {
	options PlatformOptions
	limiter *rate.Limiter
	server  *server

	mutex    sync.Mutex
	store    *standin.Store
	faults   Faults
	watchers map[chan platform.Entry]string
	lists    []machineListAt
	leases   map[uint64]*lease
	nextID   uint64
}

// StartPlatform serves on the address.
func StartPlatform(address string, options PlatformOptions) (*Platform, error) {
	limit := rate.Inf
	if options.RequestsPerSecond > 0 {
		limit = rate.Limit(options.RequestsPerSecond)
	}
	p := &Platform{
		options: options, limiter: rate.NewLimiter(limit, max(1, int(options.RequestsPerSecond))), store: standin.NewStore(),
		watchers: map[chan platform.Entry]string{}, leases: map[uint64]*lease{},
	}
	mux := http.NewServeMux()
	mux.Handle(stiletrailv1connect.NewKeyValueServiceHandler(p))
	mux.Handle(stiletrailv1connect.NewMachineListServiceHandler(p))
	mux.HandleFunc("/control", p.control)
	started, err := startServer(address, mux, 0)
	if err != nil {
		return nil, err
	}
	p.server = started
	return p, nil
}

// URL is where the platform is served.
func (p *Platform) URL() string { return "http://" + p.server.address }

// Close stops serving.
func (p *Platform) Close() { p.server.close() }

// SetFaults changes what is wrong with the platform.
func (p *Platform) SetFaults(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// SetMachines changes the machine list; it shows after its lag.
func (p *Platform) SetMachines(machines []platform.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lists = append(p.lists, machineListAt{at: time.Now(), machines: machines})
}

// Store gives access to what is stored, for tests.
func (p *Platform) Store(use func(*standin.Store)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	use(p.store)
}

// control sets faults over HTTP: down=true, slow=2s, lose-answers=1, lose-events=true.
func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	slow, _ := time.ParseDuration(values.Get("slow"))
	faults := Faults{Down: values.Get("down") == "true", Slow: slow, LoseEvents: values.Get("lose-events") == "true"}
	if values.Get("lose-answers") != "" {
		faults.LoseAnswers = 1
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusOK)
}

var errDown = failure.New(failure.StoreUnavailable, "the platform stand-in is down")

// enter applies the faults and the rate limit to a request.
func (p *Platform) enter(ctx context.Context) error {
	p.mutex.Lock()
	faults := p.faults
	p.mutex.Unlock()
	if faults.Down {
		return connect.NewError(connect.CodeUnavailable, errDown)
	}
	if !p.limiter.Allow() {
		return connect.NewError(connect.CodeResourceExhausted, failure.New(failure.Overloaded, "over the rate limit"))
	}
	select {
	case <-time.After(faults.Slow):
	case <-ctx.Done():
		return connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	p.expireLeases()
	return nil
}

func toProto(entry platform.Entry) *stiletrailv1.Entry {
	return &stiletrailv1.Entry{Key: entry.Key, Version: entry.Version, Era: entry.Era, Value: entry.Value}
}

// Get implements the key-value service.
func (p *Platform) Get(ctx context.Context, request *connect.Request[stiletrailv1.GetRequest]) (*connect.Response[stiletrailv1.GetResponse], error) {
	if err := p.enter(ctx); err != nil {
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
func (p *Platform) List(ctx context.Context, request *connect.Request[stiletrailv1.ListRequest]) (*connect.Response[stiletrailv1.ListResponse], error) {
	if err := p.enter(ctx); err != nil {
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

// CompareAndSwap implements the key-value service.
func (p *Platform) CompareAndSwap(ctx context.Context, request *connect.Request[stiletrailv1.CompareAndSwapRequest]) (*connect.Response[stiletrailv1.CompareAndSwapResponse], error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry, swapped := p.store.CompareAndSwap(request.Msg.GetKey(), platform.Stamp{Era: request.Msg.GetBaseEra(), Version: request.Msg.GetBaseVersion()}, request.Msg.GetValue())
	if swapped {
		if held := p.leases[request.Msg.GetLease()]; held != nil {
			held.keys = append(held.keys, entry.Key)
		}
		p.notify(entry)
	}
	if swapped && p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return nil, connect.NewError(connect.CodeUnavailable, failure.New(failure.OutcomeUnknown, "the answer was lost"))
	}
	return connect.NewResponse(&stiletrailv1.CompareAndSwapResponse{Swapped: swapped, Entry: toProto(entry)}), nil
}

func (p *Platform) notify(entry platform.Entry) {
	if p.faults.LoseEvents {
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

// Watch implements the key-value service.
func (p *Platform) Watch(ctx context.Context, request *connect.Request[stiletrailv1.WatchRequest], stream *connect.ServerStream[stiletrailv1.WatchResponse]) error {
	if err := p.enter(ctx); err != nil {
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

// GrantLease implements the key-value service.
func (p *Platform) GrantLease(ctx context.Context, request *connect.Request[stiletrailv1.GrantLeaseRequest]) (*connect.Response[stiletrailv1.GrantLeaseResponse], error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nextID++
	life := time.Duration(request.Msg.GetTimeToLiveMilliseconds()) * time.Millisecond
	p.leases[p.nextID] = &lease{expires: time.Now().Add(life), life: life}
	return connect.NewResponse(&stiletrailv1.GrantLeaseResponse{Lease: p.nextID}), nil
}

// KeepAlive implements the key-value service.
func (p *Platform) KeepAlive(ctx context.Context, request *connect.Request[stiletrailv1.KeepAliveRequest]) (*connect.Response[stiletrailv1.KeepAliveResponse], error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	held := p.leases[request.Msg.GetLease()]
	if held != nil {
		held.expires = time.Now().Add(held.life)
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

// ListMachines implements the machine list: the newest list that is as old as the lag.
func (p *Platform) ListMachines(ctx context.Context, _ *connect.Request[stiletrailv1.ListMachinesRequest]) (*connect.Response[stiletrailv1.ListMachinesResponse], error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	response := &stiletrailv1.ListMachinesResponse{}
	var shown []platform.Machine
	for _, list := range p.lists {
		if time.Since(list.at) >= p.options.MachineListLag {
			shown = list.machines
		}
	}
	for _, machine := range shown {
		response.Machines = append(response.Machines, &stiletrailv1.Machine{
			Address: machine.Address, Zone: machine.Zone, Leaving: machine.Leaving, Role: stiletrailv1.MachineRole(machine.Role),
		})
	}
	return connect.NewResponse(response), nil
}

// server is an HTTP server on a port of its own.
type server struct {
	address string
	http    *http.Server
	closing chan struct{}
	once    sync.Once
}

// startServer serves a handler; connections bounds the connections taken, zero for no bound.
func startServer(address string, handler http.Handler, connections int) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.SettingsInvalid, "the address cannot be listened on")
	}
	const readHeaderTimeout = 5 * time.Second
	s := &server{
		address: listener.Addr().String(), closing: make(chan struct{}),
		http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = s.http.Serve(limitListener(listener, connections)) }()
	return s, nil
}

func (s *server) close() {
	s.once.Do(func() {
		close(s.closing)
		_ = s.http.Close()
	})
}
