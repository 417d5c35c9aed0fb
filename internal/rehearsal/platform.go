// Package rehearsal runs the own interface on loopback: servers of the models in package standin, clusters of nodes in this
// process, load that checks every answer, and the quickstart, which joins them.
//
// A Platform and a BackEnd each own a port, a model and the mutex around it; a Cluster owns its nodes, back ends and platform.
// Time is the machine's.
package rehearsal

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/standin"
)

// Faults are what is wrong with the platform now.
type Faults struct {
	// Down refuses every request.
	Down bool
	// Delay delays every request.
	Delay time.Duration
	// AnswersToLose of so many writes that took effect.
	AnswersToLose int
	// DropEvents drops all events of watches.
	DropEvents bool
}

// PlatformOptions of a platform stand-in.
type PlatformOptions struct {
	// RequestsPerSecond is the rate limit; zero for none.
	RequestsPerSecond float64
	// MachineListLag is how old the machine list is that is given out.
	MachineListLag time.Duration
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

// WithStore gives access to what is stored, for tests.
func (p *Platform) WithStore(use func(*standin.Store)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	use(p.store)
}

// control sets faults over HTTP: down=true, slow=2s, lose-answers=1, lose-events=true.
func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	slow, _ := time.ParseDuration(values.Get("slow"))
	faults := Faults{Down: values.Get("down") == "true", Delay: slow, DropEvents: values.Get("lose-events") == "true"}
	if values.Get("lose-answers") != "" {
		faults.AnswersToLose = 1
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
	case <-time.After(faults.Delay):
	case <-ctx.Done():
		return connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	p.expireLeases()
	return nil
}
