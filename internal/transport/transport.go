// Package transport carries frames between nodes over TCP.
//
// Each node keeps up to two connections to a peer, one for control and one for queries, so that a large answer does not
// delay a probe. A connection carries messages one way; the other way goes a byte for each frame that was read. Frames are never
// sent a second time by the transport; what was not delivered is reported with whether the peer may have got it.
//
// It owns the listener, a queue and a goroutine for each line to a peer (line.go, sending.go), and a goroutine for each
// connection that a peer opened (incoming.go). What bounds each wait stands in the constants below. Handlers are called
// without its lock, from many goroutines.
package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/message"
)

// Limits and times of connections.
const (
	dialTimeout    = time.Second
	helloTimeout   = 5 * time.Second
	payloadTimeout = 10 * time.Second
	writeTimeout   = 5 * time.Second
	idleTimeout    = 30 * time.Second
	// redialWait is the pause after a failure to dial a peer or to take a connection.
	retryDelay = 250 * time.Millisecond
	// controlSilence and querySilence are how long a frame may stay unacknowledged before its connection counts as
	// silent. Control goes on every second, and a way there and back takes some tens of milliseconds; a peer that
	// stands still for a while must not lose its queries for it.
	controlAcknowledgementTimeout = time.Second
	queryAcknowledgementTimeout   = 5 * time.Second
	// maximumIncoming connections of peers are open at a time.
	maximumIncoming = 16384
)

// slowestLink is what a connection carries at least, in bytes a second, a tenth of what the smallest machines have.
// largeFrame is one of that many bytes, which has longer until it is acknowledged for that.
const (
	minimumBandwidth = 256 << 10
	largeFrame       = 64 << 10
)

// Sizes of what a transport holds per connection.
type Sizes struct {
	// Queue is the number of messages that may wait for a peer.
	Queue int
	// Buffer is the size of each buffer in bytes.
	Buffer int
}

// querySizes are for nodes that send each other queries and answers, ControlSizes for those that send each other little.
var (
	querySizes   = Sizes{Queue: 4096, Buffer: 16 << 10}
	ControlSizes = Sizes{Queue: 64, Buffer: 1 << 10}
)

// Network opens what a transport talks over. TCP is a process's; tests have others.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the network of the machine.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Handler takes what happens on connections. Calls come from many goroutines.
type Handler interface {
	// Message is a message from a peer.
	Message(from string, m message.Message)
	// Undelivered is a message that was not delivered; written is true where the peer may have got it.
	Undelivered(to string, m message.Message, written bool)
	// Silent is a connection that was given up because the peer acknowledged nothing on it.
	Silent(peer string)
	// Disconnected is the loss of a connection on which queries were sent.
	Disconnected(peer string)
	// Malformed is a connection that was closed for breaking the protocol.
	Malformed(remote string, err error)
}

// Counters count traffic since the start.
type Counters struct {
	SentFrames        atomic.Uint64
	SentBytes         atomic.Uint64
	SentControlBytes  atomic.Uint64
	ReceivedFrames    atomic.Uint64
	ReceivedBytes     atomic.Uint64
	UndeliveredFrames atomic.Uint64
	MalformedInput    atomic.Uint64
	// SilentConnections were given up because nothing was acknowledged on them.
	SilentConnections atomic.Uint64
}

type peerLinkKey struct {
	to      string
	control bool
}

// Transport is a node's listener and its connections to peers.
type Transport struct {
	address  string
	clock    clock.Clock
	sizes    Sizes
	network  Network
	listener net.Listener
	handler  Handler
	incoming chan struct{}
	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup

	mutex sync.Mutex
	links map[peerLinkKey]*peerLink

	// Counters may be read at any time.
	Counters Counters
}

// Listen opens the listener and returns a transport that names itself by the advertised address, or by the listener's own
// where that is empty. Serve starts it.
func Listen(listen, advertised string) (*Transport, error) {
	return ListenWith(listen, advertised, querySizes)
}

// ListenWith is Listen with other sizes.
func ListenWith(listen, advertised string, sizes Sizes) (*Transport, error) {
	return ListenOn(TCP{}, listen, advertised, sizes)
}

// ListenOn is ListenWith on a network of the caller's.
func ListenOn(network Network, listen, advertised string, sizes Sizes) (*Transport, error) {
	listener, err := network.Listen(listen)
	if err != nil {
		return nil, failure.Wrap(err, failure.SettingsInvalid, "the peer address cannot be listened on")
	}
	if advertised == "" {
		advertised = listener.Addr().String()
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Transport{
		address: advertised, clock: clock.Start(), sizes: sizes, network: network, listener: listener, incoming: make(chan struct{}, maximumIncoming),
		ctx: ctx, stop: stop, links: map[peerLinkKey]*peerLink{},
	}, nil
}

// Address is what peers know this node by.
func (t *Transport) Address() string { return t.address }

// Serve starts to take connections and returns.
func (t *Transport) Serve(handler Handler) {
	t.handler = handler
	t.tasks.Go(t.accept)
}

// Close closes all connections and waits for the goroutines to end.
func (t *Transport) Close() {
	t.stop()
	_ = t.listener.Close()
	t.tasks.Wait()
}

// Send queues a message for a peer. It does not block; what cannot be queued is reported as undelivered.
func (t *Transport) Send(to string, m message.Message) {
	key := peerLinkKey{to: to, control: message.Control(m)}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	l := t.links[key]
	if l == nil {
		l = &peerLink{transport: t, key: key, queue: make(chan queuedMessage, t.sizes.Queue)}
		t.links[key] = l
		t.tasks.Go(l.run)
	}
	select {
	case l.queue <- queuedMessage{message: m, queuedAt: t.clock.Elapsed()}:
	default:
		t.undelivered(to, m, false)
	}
}

func (t *Transport) undelivered(to string, m message.Message, written bool) {
	t.Counters.UndeliveredFrames.Add(1)
	go t.handler.Undelivered(to, m, written)
}
