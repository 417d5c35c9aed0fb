// Package transport sends frames between nodes over TCP.
//
// A node has up to two connections to each peer, one for control and one for queries, so that a large answer does
// not delay a probe. Messages flow in one direction of a connection. In the other direction flows one byte of
// acknowledgement for each frame that was read, which states the version of the messages that the peer reads. The
// transport never sends a frame twice, but for those of which it had left a part out before it knew that version. It
// reports each undelivered message, and whether the peer may have received it.
//
// The package owns the listener, a queue and a goroutine for each link to a peer (peer_link.go,
// outgoing_connection.go), a goroutine for each connection that a peer opened (incoming.go), and the versions that
// peers read (peer_version.go). The constants
// below bound all waits. Handlers are called from many goroutines and without the transport's lock.
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

// Limits and timeouts of connections.
const (
	dialTimeout    = time.Second
	helloTimeout   = 5 * time.Second
	payloadTimeout = 10 * time.Second
	writeTimeout   = 5 * time.Second
	idleTimeout    = 30 * time.Second
	// retryDelay is the pause after a failure to dial a peer or to accept a connection.
	retryDelay = 250 * time.Millisecond
	// controlAcknowledgementTimeout and queryAcknowledgementTimeout are how long a frame may stay unacknowledged
	// before its connection counts as silent. Control messages are sent every second, and a round trip takes some
	// tens of milliseconds. The timeout for queries is longer, so that a peer which pauses for a while does not
	// lose its queries.
	controlAcknowledgementTimeout = time.Second
	queryAcknowledgementTimeout   = 5 * time.Second
	// maximumIncoming is the largest number of connections that peers may have open at a time.
	maximumIncoming = 16384
)

// minimumBandwidth is the assumed bandwidth of a connection in bytes per second, a tenth of what the smallest machines
// have. largeFrame is the size in bytes above which newly written frames restart the acknowledgement timer, with a
// timeout that allows for their transfer.
const (
	minimumBandwidth = 256 << 10
	largeFrame       = 64 << 10
)

// Sizes holds the sizes of a connection's queue and buffers.
type Sizes struct {
	// Queue is the number of messages that may wait for a peer.
	Queue int
	// Buffer is the size of each buffer in bytes.
	Buffer int
}

// querySizes is for nodes that exchange queries and answers. ControlSizes is for nodes that exchange only small
// messages.
var (
	querySizes   = Sizes{Queue: 4096, Buffer: 16 << 10}
	ControlSizes = Sizes{Queue: 64, Buffer: 1 << 10}
)

// Network opens listeners and connections. A process uses TCP; tests use other implementations.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the machine's TCP network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Handler handles the events of a transport. Its methods are called from many goroutines.
type Handler interface {
	// Message is called for each message from a peer.
	Message(from string, m message.Message)
	// Undelivered is called for each message that was not delivered. written is true if the peer may have received
	// it.
	Undelivered(to string, m message.Message, written bool)
	// Silent is called when a connection is closed because the peer did not acknowledge frames in time.
	Silent(peer string)
	// Disconnected is called when a connection is lost on which queries were sent.
	Disconnected(peer string)
	// Malformed is called when a connection is closed because the remote side violated the protocol.
	Malformed(remote string, err error)
}

// Counters counts traffic since the start.
type Counters struct {
	SentFrames        atomic.Uint64
	SentBytes         atomic.Uint64
	SentControlBytes  atomic.Uint64
	ReceivedFrames    atomic.Uint64
	ReceivedBytes     atomic.Uint64
	UndeliveredFrames atomic.Uint64
	MalformedInput    atomic.Uint64
	// SilentConnections counts connections closed because their frames were not acknowledged in time.
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
	// versions are the versions of the messages that peers read, by address, as they have acknowledged.
	versions map[string]message.Version

	// Counters may be read at any time.
	Counters Counters
}

// Listen opens the listener and returns a transport. Peers know the transport by the advertised address, or by the
// listener's address if that is empty. Serve starts the transport.
func Listen(listen, advertised string) (*Transport, error) {
	return ListenWith(listen, advertised, querySizes)
}

// ListenWith is Listen with the given sizes.
func ListenWith(listen, advertised string, sizes Sizes) (*Transport, error) {
	return ListenOn(TCP{}, listen, advertised, sizes)
}

// ListenOn is ListenWith on the given network.
func ListenOn(network Network, listen, advertised string, sizes Sizes) (*Transport, error) {
	listener, err := network.Listen(listen)
	if err != nil {
		return nil, failure.Wrap(err, failure.SettingsInvalid, "cannot listen on the peer address")
	}
	if advertised == "" {
		advertised = listener.Addr().String()
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Transport{
		address: advertised, clock: clock.Start(), sizes: sizes, network: network, listener: listener, incoming: make(chan struct{}, maximumIncoming),
		ctx: ctx, stop: stop, links: map[peerLinkKey]*peerLink{}, versions: map[string]message.Version{},
	}, nil
}

// Address returns the address by which peers know this node.
func (t *Transport) Address() string { return t.address }

// Serve starts to accept connections and returns.
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

// Send queues a message for a peer without blocking. A message that does not fit into the queue is reported as
// undelivered.
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
		t.reportUndelivered(to, m, false)
	}
}

func (t *Transport) reportUndelivered(to string, m message.Message, written bool) {
	t.Counters.UndeliveredFrames.Add(1)
	go t.handler.Undelivered(to, m, written)
}
