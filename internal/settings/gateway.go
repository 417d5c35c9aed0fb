package settings

import (
	"slices"
	"strings"
	"time"
)

// Gateway holds the settings of a gateway: a node that sends requests to back ends itself and learns everything else
// from the store. The fields are logged under their Go names when the node starts, so the names must not change.
type Gateway struct {
	// Node is the name of the node.
	Node string
	// CallerAddress is where callers are served, ReadyAddress where the node reports whether it is ready for them, and
	// MetricsAddress where it serves its metrics.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// StoreAddress is the address of the store that holds the configuration and the entries of the back ends.
	StoreAddress string
	// Zone is the zone of the node.
	Zone string
	// Regions maps each zone to its region.
	Regions  map[string]string
	LogLevel string
	// StopWithin is the longest time that a planned stop may take.
	StopWithin time.Duration
	// EntryInterval is the interval at which back ends renew their entries in the store.
	EntryInterval time.Duration
	// LeavingTime is how long a draining back end may still get requests, ApplyWithin how long a configuration may take
	// until it is in force, and EvacuateWithin how long an evacuated zone may still get requests. The intervals and
	// timeouts with which a node learns of such changes are derived from the shortest of the three.
	LeavingTime    time.Duration
	ApplyWithin    time.Duration
	EvacuateWithin time.Duration
	// RetryShare is the largest part of a service's requests that may be extra attempts in any RetryWindow, over all
	// nodes.
	RetryShare  float64
	RetryWindow time.Duration
	// RetrySlack is the number of extra attempts that all nodes together may send in a window beyond the share.
	RetrySlack float64
	// QuotaWindow is the window in which the requests of a tenant count against its limit. All nodes together may exceed
	// the limit by the part QuotaExcessShare, and by QuotaExcess requests beyond that.
	QuotaWindow      time.Duration
	QuotaExcessShare float64
	QuotaExcess      float64
	// PeerAddress is where other nodes are served, Seeds are the peer addresses of some of them. Without a peer address
	// the node learns everything from the store alone.
	PeerAddress string
	// PeerAdvertisedAddress is the address at which other nodes reach this one. If it is empty, that is PeerAddress.
	PeerAdvertisedAddress string
	Seeds                 []string
	// Connections is the largest number of connections of this node to one back end.
	Connections int
	// HedgeShare is the part of a route's target latency after which a hedge is sent to another replica. With 0 no hedges
	// are sent.
	HedgeShare float64
	// RetryPace is the first pause before a shard whose attempts have failed is tried again. With 0 such a shard is not
	// tried again.
	RetryPace time.Duration
	// EarlyFinish makes the node answer at the target latency with the shards that have answered, if they are enough.
	EarlyFinish bool
	// MaximumRequests is the largest number of requests in flight.
	MaximumRequests int
	// MemoryMB is the memory that the process may take, in megabytes.
	MemoryMB int

	// SiblingHedges makes the node hedge a shard that takes much longer than the other shards of its request.
	SiblingHedges bool
	// LastExtras is the number of extra attempts in the retry budget of a service that are reserved for shards that are
	// very late. With 0 none are reserved.
	LastExtras int
	// ExtrasByNeed spends the last extra attempts of a service's retry budget where they decide whether a request
	// succeeds. It takes effect on a node with peers, which share the slack of the budget.
	ExtrasByNeed bool
	// LendRetrySlack lets nodes that use little of RetrySlack lend it to nodes that need more.
	LendRetrySlack bool
	// SubsetSize is the number of replicas in the own region that a node prefers if it may open few connections. With 0
	// it prefers none.
	SubsetSize int
	// FewRest limits the idle connections to a back end to one if the node may open few connections.
	FewRest bool
	// ShareConnections divides the connections that a back end accepts among the known nodes.
	ShareConnections bool
	// YoungPart is a divisor: while many nodes have just started, only one in YoungPart connections is divided among them.
	YoungPart int
	// Ejection excludes failing back ends for a while.
	Ejection bool
	// Doubt makes the node use a back end for a while longer if its entry disappeared while the store was failing.
	Doubt bool
	// StoreTurns makes the watchers of the store poll it one after the other.
	StoreTurns bool
	// Watchers is the number of nodes in each region that watch the store and announce its changes to the other nodes of
	// the region. With 0 every node watches.
	Watchers int
	// PeerCopies lets nodes send each other what they have learned of the store.
	PeerCopies bool
	// ProveConnections makes the node verify a new connection before its first use, if the back end may be at its
	// connection limit.
	ProveConnections bool
	// StartingHold is how long a request that arrives while the node starts waits for the first listing of the store, and
	// for back ends that the listing lacks. All requests that have waited are released at the same time, and all go to the
	// first back end of each shard.
	StartingHold time.Duration
	// TurnAway makes the node reject a part of the requests at once, without sending them, while the back ends cannot
	// answer all of them within the target latency.
	TurnAway bool
	// Priorities makes the more urgent requests go first while there is too little room, where routes differ in priority or
	// there are tenants.
	Priorities bool
	// QuarantineRounds is the number of consecutive runs of a request that crash their back ends and after which the
	// request is quarantined for QuarantineFor. With 0 no request is quarantined. With fewer than three, back ends that
	// happen to crash one after the other for another reason may quarantine a harmless request.
	QuarantineRounds int
	QuarantineFor    time.Duration
	// WithdrawnFactor is multiplied by the age of an attempt that was cancelled without an answer, which gives its assumed
	// latency. With 1 the attempt counts as answered at the moment of the cancellation.
	WithdrawnFactor float64
	// FarPrice is the penalty that the pick of a replica adds for a replica in another region, and FaultPrice is the cost
	// that it assumes for an attempt that fails. Both are parts of the route's target latency; 0 adds nothing.
	FarPrice   float64
	FaultPrice float64
	// GoByPace makes the pick of a replica depend on the slowdown that back ends report.
	GoByPace bool
	// Reports makes the nodes report slow and faulty back ends to each other.
	Reports bool
	// SharedHealth makes the nodes add up the refusals of back ends and their failed connections, to find those that
	// refuse more than their siblings or cannot be reached.
	SharedHealth bool
	// ignored has the names of the removed settings that the file sets.
	ignored []string
}

// IgnoredSettings returns the names of settings that the file sets but that have no effect, since they have been
// removed.
func (s Gateway) IgnoredSettings() []string { return s.ignored }

// removedSettings has the names of settings that earlier releases had. A file that sets one stays valid.
var removedSettings = []string{"linger"}

// DefaultGateway returns the settings of a gateway whose file and flags set none.
func DefaultGateway() Gateway {
	return Gateway{
		LogLevel: "info", StopWithin: 6 * time.Second,
		EntryInterval: 1200 * time.Millisecond, LeavingTime: 3 * time.Second, ApplyWithin: 3 * time.Second, EvacuateWithin: 5 * time.Second,
		RetryShare: 0.2, RetryWindow: 10 * time.Second, QuotaWindow: 5 * time.Second, QuotaExcessShare: 0.1, QuotaExcess: 20,
		HedgeShare: 0.45, RetryPace: 25 * time.Millisecond, EarlyFinish: true,
		SiblingHedges: true, LastExtras: 2, ExtrasByNeed: true, LendRetrySlack: true,
		WithdrawnFactor: 2, FarPrice: 0.5, FaultPrice: 2, GoByPace: true, Reports: true, SharedHealth: true,
		Connections: 4, SubsetSize: 2, FewRest: true, ShareConnections: true, YoungPart: 2, ProveConnections: true,
		Ejection: true, Doubt: true, StoreTurns: true, Watchers: 3, PeerCopies: true,
		MaximumRequests: 2000, MemoryMB: 256, StartingHold: 250 * time.Millisecond, TurnAway: true, Priorities: true, QuarantineRounds: 3, QuarantineFor: 10 * time.Minute,
	}
}

var gatewayFields = []field[Gateway]{
	{"node", "1 to 64 characters", true, func(s *Gateway, value string) bool {
		s.Node = value
		return value != "" && len(value) <= 64
	}},
	{"caller_address", addressAllowed, true, address(func(s *Gateway) *string { return &s.CallerAddress })},
	{"ready_address", addressAllowed, true, address(func(s *Gateway) *string { return &s.ReadyAddress })},
	{"metrics_address", addressAllowed, false, address(func(s *Gateway) *string { return &s.MetricsAddress })},
	{"store_address", addressAllowed, true, address(func(s *Gateway) *string { return &s.StoreAddress })},
	{"zone", "1 to 32 characters without blanks and slashes", true, name(func(s *Gateway) *string { return &s.Zone })},
	{"regions", "a list of zone=region", false, setRegions},
	{"log_level", "debug, info, warn or error", false, logLevel(func(s *Gateway) *string { return &s.LogLevel })},
	{"stop_within", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.StopWithin })},
	{"entry_interval", "50ms to 1m", false, duration(50*time.Millisecond, time.Minute, func(s *Gateway) *time.Duration { return &s.EntryInterval })},
	{"leaving_time", "2s to 10m", false, duration(2*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.LeavingTime })},
	{"apply_within", "2s to 10m", false, duration(2*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.ApplyWithin })},
	{"evacuate_within", "2s to 10m", false, duration(2*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.EvacuateWithin })},
	{"retry_share", "0 to 1", false, share(func(s *Gateway) *float64 { return &s.RetryShare })},
	{"retry_window", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.RetryWindow })},
	{"retry_slack", "0 to 1000000", false, fraction(0, 1000000, func(s *Gateway) *float64 { return &s.RetrySlack })},
	{"quota_window", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.QuotaWindow })},
	{"quota_overage", "0 to 1", false, share(func(s *Gateway) *float64 { return &s.QuotaExcessShare })},
	{"quota_slack", "0 to 1000000", false, fraction(0, 1000000, func(s *Gateway) *float64 { return &s.QuotaExcess })},
	{"peer_address", addressAllowed, false, address(func(s *Gateway) *string { return &s.PeerAddress })},
	{"peer_advertised_address", addressAllowed, false, address(func(s *Gateway) *string { return &s.PeerAdvertisedAddress })},
	{"seeds", "a list of IP addresses and ports", false, addresses(func(s *Gateway) *[]string { return &s.Seeds })},
	{"connections_per_back_end", "1 to 4096", false, integer(1, 4096, func(s *Gateway) *int { return &s.Connections })},
	{"hedge_share", "0 to 1", false, share(func(s *Gateway) *float64 { return &s.HedgeShare })},
	{"retry_pace", "0s to 10s", false, duration(0, 10*time.Second, func(s *Gateway) *time.Duration { return &s.RetryPace })},
	{"early_finish", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.EarlyFinish })},
	{"maximum_requests", "1 to 1000000", false, integer(1, 1000000, func(s *Gateway) *int { return &s.MaximumRequests })},
	{"memory_mb", "16 to 1048576", false, integer(16, 1<<20, func(s *Gateway) *int { return &s.MemoryMB })},
	{"sibling_hedges", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.SiblingHedges })},
	{"last_extras", "0 to 1000", false, integer(0, 1000, func(s *Gateway) *int { return &s.LastExtras })},
	{"extras_by_need", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.ExtrasByNeed })},
	{"lend_retry_slack", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.LendRetrySlack })},
	{"subset_size", "0 to 1000", false, integer(0, 1000, func(s *Gateway) *int { return &s.SubsetSize })},
	{"few_rest", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.FewRest })},
	{"share_connections", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.ShareConnections })},
	{"young_part", "1 to 16", false, integer(1, 16, func(s *Gateway) *int { return &s.YoungPart })},
	{"ejection", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.Ejection })},
	{"doubt", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.Doubt })},
	{"store_turns", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.StoreTurns })},
	{"watchers_per_region", "0 to 1000", false, integer(0, 1000, func(s *Gateway) *int { return &s.Watchers })},
	{"peer_copies", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.PeerCopies })},
	{"prove_connections", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.ProveConnections })},
	{"turn_away", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.TurnAway })},
	{"priorities", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.Priorities })},
	{"quarantine_rounds", "0 to 100", false, integer(0, 100, func(s *Gateway) *int { return &s.QuarantineRounds })},
	{"quarantine_for", "10s to 10m", false, duration(10*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.QuarantineFor })},
	{"withdrawn_factor", "1 to 10", false, fraction(1, 10, func(s *Gateway) *float64 { return &s.WithdrawnFactor })},
	{"go_by_pace", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.GoByPace })},
	{"reports", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.Reports })},
	{"shared_health", booleanAllowed, false, boolean(func(s *Gateway) *bool { return &s.SharedHealth })},
	{"far_price", "0 to 10", false, fraction(0, 10, func(s *Gateway) *float64 { return &s.FarPrice })},
	{"fault_price", "0 to 10", false, fraction(0, 10, func(s *Gateway) *float64 { return &s.FaultPrice })},
	{"starting_hold", "0s to 10s", false, duration(0, 10*time.Second, func(s *Gateway) *time.Duration { return &s.StartingHold })},
}

func setRegions(s *Gateway, value string) bool {
	s.Regions = map[string]string{}
	for _, pair := range strings.Split(value, ",") {
		zone, region, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || zone == "" || region == "" {
			return false
		}
		s.Regions[zone] = region
	}
	return true
}

// LoadGateway reads the settings file of a gateway and applies the overrides. It fails with SETTINGS_INVALID and lists
// all problems.
func LoadGateway(path string, overrides []Override) (Gateway, error) {
	return load(path, overrides, DefaultGateway(), acceptedFields())
}

// acceptedFields returns the fields that a file may set, including the removed ones.
func acceptedFields() []field[Gateway] {
	fields := slices.Clone(gatewayFields)
	for _, name := range removedSettings {
		fields = append(fields, field[Gateway]{name, "any value: the setting has been removed and has no effect", false, func(s *Gateway, _ string) bool {
			s.ignored = append(s.ignored, name)
			return true
		}})
	}
	return fields
}

// GatewayNames returns the names of all settings of a gateway, without the removed ones.
func GatewayNames() []string { return fieldNames(gatewayFields) }
