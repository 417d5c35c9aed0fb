// Package node connects an engine to sockets, the clock and the platform. It is the main part of the program
// stiletraild.
//
// It makes no decisions of its own. Each event is one call of the engine under one lock, and the node carries out the
// Output of the call (step.go): messages to peers, attempts at back ends (attempts.go), requests to the store and the
// machine list (store.go), and answers to callers and operators (http.go, callers.go, operators.go).
//
// The package owns the sockets, the clock, the background goroutines, the requests that wait for an answer, and the
// metrics. It relies on the adapters in the packages transport, backend, platform and api.
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

	"stiletrail/internal/clock"
	"stiletrail/internal/engine"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/settings"
	"stiletrail/internal/transport"
)

// Options are the settings of a node and the services that it uses.
type Options struct {
	Settings settings.Node
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
	// clock advances while the machine is suspended, so that leases and timers expire on time.
	clock clock.Clock
	ctx   context.Context
	stop  context.CancelFunc
	// tasks counts the background goroutines that Kill waits for.
	tasks sync.WaitGroup
	// wake wakes runTimer, which then sets its timer to an earlier time.
	wake    chan struct{}
	metrics *metrics
	// watching is true while a goroutine watches the store.
	watching atomic.Bool

	mutex  sync.Mutex
	engine *engine.Engine
	// wakeAt is the time that the timer is set to.
	wakeAt time.Duration
	// lastCaller is the number of the last request of a caller or operator. The fields below have the requests that
	// wait for an answer.
	lastCaller engine.Caller
	searches   pendingRequests[engine.SearchAnswer]
	executes   pendingRequests[engine.ExecuteAnswer]
	confirms   pendingRequests[engine.ConfirmAnswer]
	statuses   pendingRequests[engine.StatusAnswer]
}

// Start opens the ports and starts the node. Errors are of code SETTINGS_INVALID if a port cannot be listened on.
func Start(options Options) (*Node, error) {
	peers, err := transport.Listen(options.Settings.PeerAddress, options.Settings.AdvertisedAddress)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Settings.HTTPAddress)
	if err != nil {
		peers.Close()
		return nil, failure.Wrap(err, failure.SettingsInvalid, "cannot listen on the address of setting http_address")
	}
	n := &Node{
		options: options, transport: peers, listener: listener, clock: clock.Start(), wake: make(chan struct{}, 1),
		searches: pendingRequests[engine.SearchAnswer]{}, executes: pendingRequests[engine.ExecuteAnswer]{},
		confirms: pendingRequests[engine.ConfirmAnswer]{}, statuses: pendingRequests[engine.StatusAnswer]{},
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.log = options.Log.WithFields(logrus.Fields{"node": peers.Address(), "zone": options.Settings.Zone})
	n.engine = engine.New(0, n.newIdentity(), engineSettings(options.Settings), newRandom())
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

// newIdentity returns the identity of this process, with a random generation and a random key for its tickets.
func (n *Node) newIdentity() engine.Identity {
	var random [40]byte
	_, _ = cryptorand.Read(random[:])
	return engine.Identity{
		Address: n.transport.Address(), Zone: n.options.Settings.Zone, Region: n.options.Settings.Region,
		Generation: binary.BigEndian.Uint64(random[:8]), TicketKey: random[8:],
		Incarnation: uint64(time.Now().UnixMilli()), Seeds: n.options.Settings.Seeds,
	}
}

// engineSettings returns the engine's default settings, overridden by those of the settings file.
func engineSettings(given settings.Node) engine.Settings {
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

// HTTPAddress returns the address at which callers and operators reach the node.
func (n *Node) HTTPAddress() string { return n.listener.Addr().String() }

// PeerAddress returns the address at which other nodes reach the node.
func (n *Node) PeerAddress() string { return n.transport.Address() }

// Inspect calls inspect with the engine while the node's lock is held, so that no other goroutine uses the engine.
func (n *Node) Inspect(inspect func(*engine.Engine)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	inspect(n.engine)
}
