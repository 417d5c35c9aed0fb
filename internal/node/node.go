// Package node runs an engine with sockets, the clock and the platform: it is the whole of stiletraild.
//
// It decides nothing of its own. Each event is one call of the engine under one lock (step.go), whose Output it carries out:
// messages to peers, attempts at back ends (attempts.go), requests to the store and the machine list (store.go), answers to
// callers and operators (http.go, callers.go, operators.go).
//
// It owns the sockets, the clock, the tasks that run beside, the requests that wait for an answer, and the metrics. It relies on
// the adapters in transport, backend, platform and api.
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

// Options are the parts a node is wired with.
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
	// caller is the number of the last request; the others hold those that wait for an answer.
	caller   engine.Caller
	searches waiting[engine.SearchAnswer]
	executes waiting[engine.ExecuteAnswer]
	confirms waiting[engine.ConfirmAnswer]
	statuses waiting[engine.StatusAnswer]
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
		searches: waiting[engine.SearchAnswer]{}, executes: waiting[engine.ExecuteAnswer]{},
		confirms: waiting[engine.ConfirmAnswer]{}, statuses: waiting[engine.StatusAnswer]{},
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
