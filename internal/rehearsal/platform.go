// Package rehearsal runs stiletrail's own RPC interface (package api) on loopback. It serves the models of package standin over
// HTTP, starts clusters of nodes in this process, generates load whose answers are all checked, and contains the quickstart, which
// uses all of these.
//
// A Platform and a BackEnd each own a port, a model and the mutex that guards it. A Cluster owns its nodes, back ends and
// platform. The package runs in real time.
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

// Faults are the faults that the platform stand-in injects.
type Faults struct {
	// Down refuses every request.
	Down bool
	// Delay is added to every request.
	Delay time.Duration
	// AnswersToLose is the number of writes that will take effect and whose answers will be lost.
	AnswersToLose int
	// DropEvents says that no watcher receives any event.
	DropEvents bool
}

// PlatformOptions configure a platform stand-in.
type PlatformOptions struct {
	// RequestsPerSecond is the rate limit. Zero means no limit.
	RequestsPerSecond float64
	// MachineListLag is the minimum age of the machine list that is returned.
	MachineListLag time.Duration
}

// Platform serves the key-value service and the machine list over HTTP.
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

// StartPlatform starts a platform that listens on the address.
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

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.server.address }

// Close closes the listener and all connections immediately and ends the watches.
func (p *Platform) Close() { p.server.close() }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// WithStore calls a function with the stored entries, under the mutex. Tests use it.
func (p *Platform) WithStore(use func(*standin.Store)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	use(p.store)
}

// control replaces the faults by the parameters of an HTTP request: down=true, slow=2s, lose-answers=1, lose-events=true.
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

var errPlatformDown = failure.New(failure.StoreUnavailable, "the platform stand-in is down")

// applyFaults applies the faults and the rate limit to a request. It also expires leases, so that the request does not see their keys.
func (p *Platform) applyFaults(ctx context.Context) error {
	p.mutex.Lock()
	faults := p.faults
	p.mutex.Unlock()
	if faults.Down {
		return connect.NewError(connect.CodeUnavailable, errPlatformDown)
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
