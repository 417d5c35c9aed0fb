package settings

import (
	"strings"
	"time"
)

// Settings of a node.
type Settings struct {
	// HTTPAddress serves callers, operators, metrics and health.
	HTTPAddress string
	// PeerAddress serves other nodes; AdvertisedAddress is what they are told, where it differs.
	PeerAddress       string
	AdvertisedAddress string
	Zone              string
	Region            string
	// Seeds are the peer addresses of some other nodes.
	Seeds []string
	// PlatformURL is where the key-value service and the machine list are.
	PlatformURL string
	LogLevel    string
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration

	Dispatchers    int
	GroupSize      int
	RelaysPerZone  int
	MaximumQueries int
	Connections    int
	Hedging        bool
	HedgeShare     float64
	RetryShare     float64
	QueueWait      time.Duration
	ProbeInterval  time.Duration
	StoreInterval  time.Duration
}

// Default gives the settings of fields that are not set.
func Default() Settings {
	return Settings{
		LogLevel: "info", DrainTimeout: 30 * time.Second, Dispatchers: 1, GroupSize: 64, RelaysPerZone: 2,
		MaximumQueries: 4096, Connections: 16, Hedging: true, HedgeShare: 0.08, RetryShare: 0.1,
		QueueWait: 50 * time.Millisecond, ProbeInterval: time.Second, StoreInterval: 5 * time.Second,
	}
}

var fields = []field[Settings]{
	{"http_address", addressAllowed, true, address(func(s *Settings) *string { return &s.HTTPAddress })},
	{"peer_address", addressAllowed, true, address(func(s *Settings) *string { return &s.PeerAddress })},
	{"advertised_address", addressAllowed, false, address(func(s *Settings) *string { return &s.AdvertisedAddress })},
	{"zone", "1 to 32 characters without blanks and slashes", true, name(func(s *Settings) *string { return &s.Zone })},
	{"region", "1 to 32 characters without blanks and slashes", false, name(func(s *Settings) *string { return &s.Region })},
	{"seeds", "a list of IP addresses and ports", false, addresses(func(s *Settings) *[]string { return &s.Seeds })},
	{"platform_url", "http:// with an IP address and port", true, setPlatform},
	{"log_level", "debug, info, warn or error", false, level(func(s *Settings) *string { return &s.LogLevel })},
	{"drain_timeout", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.DrainTimeout })},
	{"dispatchers_per_group", "1 to 64", false, integer(1, 64, func(s *Settings) *int { return &s.Dispatchers })},
	{"group_size", "1 to 1024", false, integer(1, 1024, func(s *Settings) *int { return &s.GroupSize })},
	{"relays_per_zone", "1 to 16", false, integer(1, 16, func(s *Settings) *int { return &s.RelaysPerZone })},
	{"maximum_queries", "1 to 1000000", false, integer(1, 1000000, func(s *Settings) *int { return &s.MaximumQueries })},
	{"connections_per_back_end", "1 to 4096", false, integer(1, 4096, func(s *Settings) *int { return &s.Connections })},
	{"hedging", switchAllowed, false, onOff(func(s *Settings) *bool { return &s.Hedging })},
	{"hedge_share", "0 to 1", false, share(func(s *Settings) *float64 { return &s.HedgeShare })},
	{"retry_share", "0 to 1", false, share(func(s *Settings) *float64 { return &s.RetryShare })},
	{"queue_wait", "1ms to 10s", false, duration(time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.QueueWait })},
	{"probe_interval", "50ms to 30s", false, duration(50*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.ProbeInterval })},
	{"store_interval", "100ms to 10m", false, duration(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.StoreInterval })},
}

func setPlatform(s *Settings, value string) bool {
	s.PlatformURL = value
	rest, ok := strings.CutPrefix(value, "http://")
	return ok && isAddress(rest)
}

// Load reads the file, where a path is given, and the overrides. The failure, of code SETTINGS_INVALID, lists all problems.
func Load(path string, overrides []Override) (Settings, error) {
	return load(path, overrides, Default(), fields)
}

// Names returns the names of all fields.
func Names() []string { return namesOf(fields) }
