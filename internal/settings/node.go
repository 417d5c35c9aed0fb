package settings

import (
	"strings"
	"time"
)

// Node holds the settings of a stiletraild node.
type Node struct {
	// HTTPAddress is where callers, operators, metrics and health checks are served.
	HTTPAddress string
	// PeerAddress is where other nodes are served. AdvertisedAddress is the address at which they reach this node, if
	// it is another one.
	PeerAddress       string
	AdvertisedAddress string
	Zone              string
	Region            string
	// Seeds are the peer addresses of some other nodes.
	Seeds []string
	// PlatformURL is the base URL of the key-value service and the machine list.
	PlatformURL string
	LogLevel    string
	// DrainTimeout is the longest time that a planned stop may take.
	DrainTimeout time.Duration

	// Dispatchers is the number of nodes that share the slots of a group's back ends.
	Dispatchers int
	// GroupSize is the largest number of back ends in a group.
	GroupSize int
	// RelaysPerZone is the number of nodes of a zone that read the key-value store.
	RelaysPerZone int
	// MaximumQueries is the largest number of searches and executes in flight.
	MaximumQueries int
	// Connections is the largest number of connections of this node to one back end.
	Connections int
	// Hedging switches hedges on.
	Hedging bool
	// HedgeShare and RetryShare are the numbers of hedges and of retries of a shard allowed per first attempt.
	HedgeShare float64
	RetryShare float64
	// QueueWait is the longest predicted wait for a slot with which a query is still admitted.
	QueueWait time.Duration
	// ProbeInterval is the time between two probes of other nodes.
	ProbeInterval time.Duration
	// StoreInterval is the time between two reads of the key-value store.
	StoreInterval time.Duration
}

// DefaultNode returns the settings of a node whose file and flags set none.
func DefaultNode() Node {
	return Node{
		LogLevel: "info", DrainTimeout: 30 * time.Second, Dispatchers: 1, GroupSize: 64, RelaysPerZone: 2,
		MaximumQueries: 4096, Connections: 16, Hedging: true, HedgeShare: 0.08, RetryShare: 0.1,
		QueueWait: 50 * time.Millisecond, ProbeInterval: time.Second, StoreInterval: 5 * time.Second,
	}
}

var nodeFields = []field[Node]{
	{"http_address", addressAllowed, true, address(func(s *Node) *string { return &s.HTTPAddress })},
	{"peer_address", addressAllowed, true, address(func(s *Node) *string { return &s.PeerAddress })},
	{"advertised_address", addressAllowed, false, address(func(s *Node) *string { return &s.AdvertisedAddress })},
	{"zone", "1 to 32 characters without blanks and slashes", true, name(func(s *Node) *string { return &s.Zone })},
	{"region", "1 to 32 characters without blanks and slashes", false, name(func(s *Node) *string { return &s.Region })},
	{"seeds", "a list of IP addresses and ports", false, addresses(func(s *Node) *[]string { return &s.Seeds })},
	{"platform_url", "http:// with an IP address and port", true, setPlatformURL},
	{"log_level", "debug, info, warn or error", false, logLevel(func(s *Node) *string { return &s.LogLevel })},
	{"drain_timeout", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Node) *time.Duration { return &s.DrainTimeout })},
	{"dispatchers_per_group", "1 to 64", false, integer(1, 64, func(s *Node) *int { return &s.Dispatchers })},
	{"group_size", "1 to 1024", false, integer(1, 1024, func(s *Node) *int { return &s.GroupSize })},
	{"relays_per_zone", "1 to 16", false, integer(1, 16, func(s *Node) *int { return &s.RelaysPerZone })},
	{"maximum_queries", "1 to 1000000", false, integer(1, 1000000, func(s *Node) *int { return &s.MaximumQueries })},
	{"connections_per_back_end", "1 to 4096", false, integer(1, 4096, func(s *Node) *int { return &s.Connections })},
	{"hedging", booleanAllowed, false, boolean(func(s *Node) *bool { return &s.Hedging })},
	{"hedge_share", "0 to 1", false, share(func(s *Node) *float64 { return &s.HedgeShare })},
	{"retry_share", "0 to 1", false, share(func(s *Node) *float64 { return &s.RetryShare })},
	{"queue_wait", "1ms to 10s", false, duration(time.Millisecond, 10*time.Second, func(s *Node) *time.Duration { return &s.QueueWait })},
	{"probe_interval", "50ms to 30s", false, duration(50*time.Millisecond, 30*time.Second, func(s *Node) *time.Duration { return &s.ProbeInterval })},
	{"store_interval", "100ms to 10m", false, duration(100*time.Millisecond, 10*time.Minute, func(s *Node) *time.Duration { return &s.StoreInterval })},
}

func setPlatformURL(s *Node, value string) bool {
	s.PlatformURL = value
	rest, ok := strings.CutPrefix(value, "http://")
	return ok && isAddress(rest)
}

// LoadNode reads the settings file of a node, if a path is given, and applies the overrides. It fails with
// SETTINGS_INVALID and lists all problems.
func LoadNode(path string, overrides []Override) (Node, error) {
	return load(path, overrides, DefaultNode(), nodeFields)
}

// NodeNames returns the names of all settings of a node.
func NodeNames() []string { return fieldNames(nodeFields) }
