// Package node runs an engine with sockets, the clock and the platform: it is the whole of stiletraild.
package node

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"stiletrail/internal/backend"
	"stiletrail/internal/clock"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
	"stiletrail/internal/platform"
	"stiletrail/internal/query"
	"stiletrail/internal/settings"
	"stiletrail/internal/transport"
)

// BackEnds is what a node needs of back ends.
type BackEnds interface {
	// Begin registers an attempt before it runs, so that it can be cancelled.
	Begin(parent context.Context, attempt uint64, remaining time.Duration) context.Context
	// Run sends an attempt and returns what came of it.
	Run(ctx context.Context, attempt query.Attempt) query.AttemptResult
	// Cancel gives up an attempt.
	Cancel(attempt uint64)
	// Describe asks a back end what it holds for a service.
	Describe(ctx context.Context, service, address string) (query.Holding, bool)
	// Close releases connections.
	Close()
}

// Options are the parts a node is wired with.
type Options struct {
	Settings settings.Settings
	BackEnds BackEnds
	Store    platform.Store
	Machines platform.MachineList
	Log      *logrus.Entry
}

// Node is a running node.
type Node struct {
	options   Options
	log       *logrus.Entry
	transport *transport.Transport
	http      *http.Server
	listener  net.Listener
	// clock goes on while the machine is suspended: what is leased or due counts on it.
	clock    clock.Clock
	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	wake     chan struct{}
	metrics  *metrics
	watching atomic.Bool

	mutex  sync.Mutex
	engine *engine.Engine
	// wakeAt is the time the timer is set to.
	wakeAt time.Duration
	caller engine.Caller
	// answers holds the channel of each request under way.
	searches map[engine.Caller]chan engine.SearchAnswer
	executes map[engine.Caller]chan engine.ExecuteAnswer
	confirms map[engine.Caller]chan engine.ConfirmAnswer
	statuses map[engine.Caller]chan engine.StatusAnswer
}

// Start opens the ports and runs the node. Errors are of code SETTINGS_INVALID where a port cannot be had.
func Start(options Options) (*Node, error) {
	peers, err := transport.Listen(options.Settings.PeerAddress, options.Settings.AdvertisedAddress)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Settings.HTTPAddress)
	if err != nil {
		peers.Close()
		return nil, failure.Wrap(err, failure.SettingsInvalid, "the http address cannot be listened on")
	}
	n := &Node{
		options: options, transport: peers, listener: listener, clock: clock.Start(), wake: make(chan struct{}, 1),
		searches: map[engine.Caller]chan engine.SearchAnswer{}, executes: map[engine.Caller]chan engine.ExecuteAnswer{},
		confirms: map[engine.Caller]chan engine.ConfirmAnswer{}, statuses: map[engine.Caller]chan engine.StatusAnswer{},
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.log = options.Log.WithFields(logrus.Fields{"node": peers.Address(), "zone": options.Settings.Zone})
	n.engine = engine.New(0, n.identity(), engineSettings(options.Settings), newRandom())
	n.transport.Serve(n)
	n.serveHTTP()
	n.tasks.Go(n.runTimer)
	n.tasks.Go(n.runMachineList)
	n.log.WithField("http", listener.Addr().String()).Info("node started")
	return n, nil
}

func newRandom() *rand.Rand {
	var seed [32]byte
	_, _ = cryptorand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

func (n *Node) identity() engine.Identity {
	var drawn [40]byte
	_, _ = cryptorand.Read(drawn[:])
	return engine.Identity{
		Address: n.transport.Address(), Zone: n.options.Settings.Zone, Region: n.options.Settings.Region,
		Generation: binary.BigEndian.Uint64(drawn[:8]), TicketKey: drawn[8:],
		Incarnation: uint64(time.Now().UnixMilli()), Seeds: n.options.Settings.Seeds,
	}
}

// engineSettings puts the settings file over the defaults.
func engineSettings(given settings.Settings) engine.Settings {
	result := engine.DefaultSettings()
	result.Placement.Dispatchers = given.Dispatchers
	result.Placement.GroupSize = given.GroupSize
	result.Placement.RelaysPerZone = given.RelaysPerZone
	result.MaximumQueries = given.MaximumQueries
	result.Dispatch.Hedging = given.Hedging
	result.Dispatch.HedgeShare = given.HedgeShare
	result.Dispatch.RetryShare = given.RetryShare
	result.Dispatch.MaximumQueueWait = given.QueueWait
	result.Membership.ProbeInterval = given.ProbeInterval
	result.Membership.ProbeTimeout = given.ProbeInterval * 3 / 10
	result.StoreInterval = given.StoreInterval
	return result
}

// HTTPAddress is where callers and operators reach the node.
func (n *Node) HTTPAddress() string { return n.listener.Addr().String() }

// PeerAddress is where other nodes reach the node.
func (n *Node) PeerAddress() string { return n.transport.Address() }

// Inspect calls inspect with the engine while nothing else uses it.
func (n *Node) Inspect(inspect func(*engine.Engine)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	inspect(n.engine)
}

// Traffic returns the counters of the peer transport.
func (n *Node) Traffic() *transport.Counters { return &n.transport.Counters }

// step runs one call of the engine and carries out its output. The order of messages is that of the steps, because all
// that is done here only hands over.
func (n *Node) step(call func(now time.Duration) engine.Output) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.perform(call(n.clock.Elapsed()))
	if n.engine.NextWake() < n.wakeAt {
		select {
		case n.wake <- struct{}{}:
		default:
		}
	}
}

func (n *Node) perform(output engine.Output) {
	for _, envelope := range output.Sends {
		n.transport.Send(envelope.To, envelope.Message)
	}
	for _, attempt := range output.Attempts {
		n.startAttempt(attempt)
	}
	for _, attempt := range output.Cancels {
		go n.options.BackEnds.Cancel(attempt)
	}
	for _, describe := range output.Describes {
		n.tasks.Go(func() {
			holding, ok := n.options.BackEnds.Describe(n.ctx, describe.Service, describe.BackEnd)
			n.step(func(now time.Duration) engine.Output {
				return n.engine.Described(now, describe.Service, describe.BackEnd, holding, ok)
			})
		})
	}
	n.performStore(output)
	deliver(n.searches, output.SearchAnswers, func(a engine.SearchAnswer) engine.Caller { return a.Caller })
	deliver(n.executes, output.ExecuteAnswers, func(a engine.ExecuteAnswer) engine.Caller { return a.Caller })
	deliver(n.confirms, output.ConfirmAnswers, func(a engine.ConfirmAnswer) engine.Caller { return a.Caller })
	deliver(n.statuses, output.StatusAnswers, func(a engine.StatusAnswer) engine.Caller { return a.Caller })
}

// deliver hands answers to the requests that wait for them; the channels have room for one.
func deliver[Answer any](waiting map[engine.Caller]chan Answer, answers []Answer, callerOf func(Answer) engine.Caller) {
	for _, answer := range answers {
		caller := callerOf(answer)
		if channel := waiting[caller]; channel != nil {
			channel <- answer
			delete(waiting, caller)
		}
	}
}

func (n *Node) startAttempt(attempt query.Attempt) {
	remaining := attempt.Deadline - n.clock.Elapsed()
	ctx := n.options.BackEnds.Begin(n.ctx, attempt.Number, remaining)
	n.tasks.Go(func() {
		result := n.options.BackEnds.Run(ctx, attempt)
		n.logAttempt(attempt, result)
		n.step(func(now time.Duration) engine.Output { return n.engine.AttemptEnded(now, result) })
	})
}

// logAttempt logs an attempt that got no answer, or a broken one; nothing of its query or answer is logged.
func (n *Node) logAttempt(attempt query.Attempt, result query.AttemptResult) {
	if result.Status != query.StatusLost && result.Status != query.StatusInvalid && result.Status != query.StatusNotSent {
		return
	}
	n.log.WithFields(logrus.Fields{
		"attempt": attempt.Number, "service": attempt.Service, "back_end": attempt.BackEnd, "reason": result.Status.Reason(),
	}).Debug("attempt failed")
}

// Message implements transport.Handler.
func (n *Node) Message(from string, m message.Message) {
	n.step(func(now time.Duration) engine.Output { return n.engine.Receive(now, from, m) })
}

// Undelivered implements transport.Handler.
func (n *Node) Undelivered(to string, m message.Message, written bool) {
	n.step(func(now time.Duration) engine.Output { return n.engine.Undelivered(now, to, m, written) })
}

// Silent implements transport.Handler.
func (n *Node) Silent(peer string) {
	n.log.WithField("peer", peer).Warn("a connection to a peer fell silent")
}

// Disconnected implements transport.Handler.
func (n *Node) Disconnected(peer string) {
	n.step(func(now time.Duration) engine.Output { return n.engine.Disconnected(now, peer) })
}

// Malformed implements transport.Handler.
func (n *Node) Malformed(remote string, err error) {
	n.log.WithFields(logrus.Fields{"remote": remote, "failure": failure.CodeOf(err)}).Warn("connection closed for malformed input")
}

// runTimer calls Tick when the engine asks for it.
func (n *Node) runTimer() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
			n.step(n.engine.Tick)
		case <-n.wake:
		}
		n.mutex.Lock()
		n.wakeAt = n.engine.NextWake()
		n.mutex.Unlock()
		timer.Reset(max(n.wakeAt-n.clock.Elapsed(), 0))
	}
}

// Stop is the planned stop: it tells peers, refuses new work, waits until nothing is under way or the context ends, and
// closes the ports. It returns false where work was still under way.
func (n *Node) Stop(ctx context.Context) bool {
	n.log.Info("node is leaving")
	n.step(n.engine.Leave)
	drained := n.waitDrained(ctx)
	_ = n.http.Shutdown(ctx)
	n.Kill()
	n.log.WithField("drained", drained).Info("node stopped")
	return drained
}

func (n *Node) waitDrained(ctx context.Context) bool {
	const poll = 10 * time.Millisecond
	for {
		drained := false
		n.Inspect(func(e *engine.Engine) { drained = e.Drained(n.clock.Elapsed()) })
		if drained {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(poll):
		}
	}
}

// Kill closes everything at once, as a crash would.
func (n *Node) Kill() {
	n.stop()
	// After this no step starts a task any more.
	n.Inspect(func(*engine.Engine) {})
	_ = n.http.Close()
	n.transport.Close()
	n.tasks.Wait()
	n.options.BackEnds.Close()
}

// NewBackEnds returns the connect adapter with the settings' connection limit.
func NewBackEnds(given settings.Settings) BackEnds {
	return backend.NewClient(given.Connections)
}
