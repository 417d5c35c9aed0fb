package settings

import (
	"slices"
	"strings"
	"time"
)

// Gateway settings: of a node that asks back ends itself and learns everything else from the store. The names of the
// fields stand in the log line of a start.
type Gateway struct {
	Node string
	// CallerAddress serves callers, ReadyAddress tells whether the node should get any, MetricsAddress serves metrics.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// StoreAddress of the store that holds the configuration and the back ends.
	StoreAddress string
	Zone         string
	// Regions gives the region of each zone.
	Regions  map[string]string
	LogLevel string
	// StopWithin bounds a planned stop.
	StopWithin time.Duration
	// EntryInterval is how often back ends renew their entries.
	EntryInterval time.Duration
	// LeavingTime is how long a back end that leaves may get requests, ApplyWithin how long a configuration may take to
	// be in force, EvacuateWithin how long a zone may get requests that is evacuated. All that a node waits for before
	// it learns of them is derived from the shortest one.
	LeavingTime    time.Duration
	ApplyWithin    time.Duration
	EvacuateWithin time.Duration
	// RetryShare of a service's requests may be extra attempts in any RetryWindow, over all nodes.
	RetryShare  float64
	RetryWindow time.Duration
	// RetrySlack is what all nodes together may send extra in a window beyond the share.
	RetrySlack float64
	// PeerAddress serves other nodes, Seeds are those of some of them; without it the node goes by the store alone.
	PeerAddress string
	// PeerAdvertisedAddress is the one at which other nodes reach it, where that is another; empty for the same.
	PeerAdvertisedAddress string
	Seeds                 []string
	// Connections is the largest number of connections of this node to one back end.
	Connections int
	// HedgeShare of a route's target latency is waited before another replica is asked too; 0 turns hedging off.
	HedgeShare float64
	// RetryPace is the first pause before a shard whose attempts have failed is tried again; 0 gives it up at once.
	RetryPace time.Duration
	// EarlyFinish answers at the target latency with what is there, where that is enough.
	EarlyFinish bool
	// MaximumRequests bounds the requests under way.
	MaximumRequests int

	// SiblingHedges has a shard hedged that takes much longer than the others of its request.
	SiblingHedges bool
	// LastExtras that the retry budget of a service allows are kept for shards that are very late; 0 keeps none.
	LastExtras int
	// SubsetSize is how many near replicas a node prefers where connections are few; 0 prefers none.
	SubsetSize int
	// FewRest lets only one connection be idle at a back end where they are few.
	FewRest bool
	// ShareConnections divides the connections of a back end among the nodes known.
	ShareConnections bool
	// YoungPart of the connections, one in so many, is shared while many nodes have just started.
	YoungPart int
	// Ejection leaves failing back ends out for a while.
	Ejection bool
	// Doubt uses a back end on for a while whose entry vanished while the store was in trouble.
	Doubt bool
	// StoreTurns has the nodes look at the store one after the other.
	StoreTurns bool
	// Watchers of the store in each region tell the other nodes of it; with 0 every node watches.
	Watchers int
	// PeerCopies has nodes tell each other what they know of the store.
	PeerCopies bool
	// ProveConnections has new connections prove themselves before they are used, where the back end may be at its limit of them.
	ProveConnections bool
	// StartingHold is how long a request that comes while the node starts waits for its first listing, and for back
	// ends that the listing lacks. Requests that have waited together are let go together, onto the first back end of
	// each shard.
	StartingHold time.Duration
	// TurnAway refuses a part of the requests at once, as not run, while back ends cannot answer all of them by the target.
	TurnAway bool
	// QuarantineRounds of runs of a request, one after the other, that end their back ends put it under quarantine for
	// QuarantineFor; 0 never does. With fewer than three, back ends that end by themselves one after the other may put
	// it there.
	QuarantineRounds int
	QuarantineFor    time.Duration
	// WithdrawnFactor times its age is taken for the latency of an attempt that was withdrawn without an answer; 1
	// takes it for as quick as it was old.
	WithdrawnFactor float64
	// FarPrice and FaultPrice are what a replica of another region, and a failed attempt, are expected to cost, as
	// shares of the route's target; 0 prices neither.
	FarPrice   float64
	FaultPrice float64
	// GoByPace has choices go by the slowdown that back ends tell.
	GoByPace bool
	// Reports has nodes tell each other of back ends that turn slow or faulty.
	Reports bool
	// withoutEffect are the removed settings that the file names.
	withoutEffect []string
}

// IgnoredSettings returns the names of settings that the file gives and that have been removed since.
func (s Gateway) IgnoredSettings() []string { return s.withoutEffect }

// removed are the names of settings that earlier releases had. A file that names one stays valid.
var removed = []string{"linger"}

// DefaultGateway gives the settings of fields that are not set.
func DefaultGateway() Gateway {
	return Gateway{
		LogLevel: "info", StopWithin: 6 * time.Second,
		EntryInterval: 1200 * time.Millisecond, LeavingTime: 3 * time.Second, ApplyWithin: 3 * time.Second, EvacuateWithin: 5 * time.Second,
		RetryShare: 0.2, RetryWindow: 10 * time.Second, HedgeShare: 0.45, RetryPace: 25 * time.Millisecond, EarlyFinish: true,
		SiblingHedges: true, LastExtras: 2, WithdrawnFactor: 2, FarPrice: 0.5, FaultPrice: 2, GoByPace: true, Reports: true,
		Connections: 4, SubsetSize: 2, FewRest: true, ShareConnections: true, YoungPart: 2, ProveConnections: true,
		Ejection: true, Doubt: true, StoreTurns: true, Watchers: 3, PeerCopies: true,
		MaximumRequests: 2000, StartingHold: 250 * time.Millisecond, TurnAway: true, QuarantineRounds: 3, QuarantineFor: 10 * time.Minute,
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
	{"log_level", "debug, info, warn or error", false, level(func(s *Gateway) *string { return &s.LogLevel })},
	{"stop_within", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.StopWithin })},
	{"entry_interval", "50ms to 1m", false, duration(50*time.Millisecond, time.Minute, func(s *Gateway) *time.Duration { return &s.EntryInterval })},
	{"leaving_time", "2s to 10m", false, duration(2*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.LeavingTime })},
	{"apply_within", "2s to 10m", false, duration(2*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.ApplyWithin })},
	{"evacuate_within", "2s to 10m", false, duration(2*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.EvacuateWithin })},
	{"retry_share", "0 to 1", false, share(func(s *Gateway) *float64 { return &s.RetryShare })},
	{"retry_window", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.RetryWindow })},
	{"retry_slack", "0 to 1000000", false, fraction(0, 1000000, func(s *Gateway) *float64 { return &s.RetrySlack })},
	{"peer_address", addressAllowed, false, address(func(s *Gateway) *string { return &s.PeerAddress })},
	{"peer_advertised_address", addressAllowed, false, address(func(s *Gateway) *string { return &s.PeerAdvertisedAddress })},
	{"seeds", "a list of IP addresses and ports", false, addresses(func(s *Gateway) *[]string { return &s.Seeds })},
	{"connections_per_back_end", "1 to 4096", false, integer(1, 4096, func(s *Gateway) *int { return &s.Connections })},
	{"hedge_share", "0 to 1", false, share(func(s *Gateway) *float64 { return &s.HedgeShare })},
	{"retry_pace", "0s to 10s", false, duration(0, 10*time.Second, func(s *Gateway) *time.Duration { return &s.RetryPace })},
	{"early_finish", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.EarlyFinish })},
	{"maximum_requests", "1 to 1000000", false, integer(1, 1000000, func(s *Gateway) *int { return &s.MaximumRequests })},
	{"sibling_hedges", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.SiblingHedges })},
	{"last_extras", "0 to 1000", false, integer(0, 1000, func(s *Gateway) *int { return &s.LastExtras })},
	{"subset_size", "0 to 1000", false, integer(0, 1000, func(s *Gateway) *int { return &s.SubsetSize })},
	{"few_rest", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.FewRest })},
	{"share_connections", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.ShareConnections })},
	{"young_part", "1 to 16", false, integer(1, 16, func(s *Gateway) *int { return &s.YoungPart })},
	{"ejection", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.Ejection })},
	{"doubt", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.Doubt })},
	{"store_turns", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.StoreTurns })},
	{"watchers_per_region", "0 to 1000", false, integer(0, 1000, func(s *Gateway) *int { return &s.Watchers })},
	{"peer_copies", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.PeerCopies })},
	{"prove_connections", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.ProveConnections })},
	{"turn_away", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.TurnAway })},
	{"quarantine_rounds", "0 to 100", false, integer(0, 100, func(s *Gateway) *int { return &s.QuarantineRounds })},
	{"quarantine_for", "10s to 10m", false, duration(10*time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.QuarantineFor })},
	{"withdrawn_factor", "1 to 10", false, fraction(1, 10, func(s *Gateway) *float64 { return &s.WithdrawnFactor })},
	{"go_by_pace", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.GoByPace })},
	{"reports", switchAllowed, false, onOff(func(s *Gateway) *bool { return &s.Reports })},
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

// LoadGateway reads the settings file of a gateway and the overrides. The failure, of code SETTINGS_INVALID, lists all problems.
func LoadGateway(path string, overrides []Override) (Gateway, error) {
	return load(path, overrides, DefaultGateway(), accepted())
}

// accepted are the fields that a file may name, removed ones included.
func accepted() []field[Gateway] {
	fields := slices.Clone(gatewayFields)
	for _, name := range removed {
		fields = append(fields, field[Gateway]{name, "anything: it has no effect", false, func(s *Gateway, _ string) bool {
			s.withoutEffect = append(s.withoutEffect, name)
			return true
		}})
	}
	return fields
}

// GatewayNames returns the names of all fields of a gateway.
func GatewayNames() []string { return namesOf(gatewayFields) }
