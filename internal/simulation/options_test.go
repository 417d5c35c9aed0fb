package simulation

import (
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/standin"
)

// Zone is a place; zones of one region are near each other.
type Zone struct {
	Name   string
	Region string
}

// Service is an index with back ends.
type Service struct {
	Name        string
	BackEnds    int
	Slots       int
	Connections int
	Latency     standin.Latency
	// MinimumCoverage and the rest go into its intent.
	MinimumCoverage float64
	CoverageFirst   bool
	Deadline        time.Duration
	TailBudget      time.Duration
	// Keys per shard on average; zero takes three.
	KeysPerShard int
}

// Distances are one-way latencies.
type Distances struct {
	SameZone    time.Duration
	OtherZone   time.Duration
	OtherRegion time.Duration
	Client      time.Duration
	Connect     time.Duration
}

// DefaultDistances are those to design for: about 1 ms between zones, 12 ms between regions, 3 ms to clients, 1 ms to connect.
func DefaultDistances() Distances {
	return Distances{
		SameZone: 200 * time.Microsecond, OtherZone: time.Millisecond, OtherRegion: 12 * time.Millisecond,
		Client: 3 * time.Millisecond, Connect: time.Millisecond,
	}
}

// Options of a world.
type Options struct {
	Seed         uint64
	Zones        []Zone
	NodesPerZone int
	Services     []Service
	Distances    Distances
	Engine       engine.Settings
	// MachineListLag is how late the machine list shows a change.
	MachineListLag time.Duration
}

// FaultProbabilities of faults of single messages, from 0 to 1.
type FaultProbabilities struct {
	// MessageLost frames break their connection without a word; Doubled ones come twice; Late ones are delayed by up to LateBy.
	MessageLost    float64
	MessageDuplicated float64
	MessageDelayed    float64
	MaximumDelay  time.Duration
	// StoreAnswerLost: a write took effect, its answer did not come.
	StoreAnswerLost float64
	// StoreWriteDelayed delays a write and its answer beyond the client's patience.
	StoreWriteDelayed float64
	// WatchEventLost of a watch.
	WatchEventLost float64
}

// SmallOptions is the world of random schedules: two regions, three zones, six nodes, three services.
func SmallOptions(seed uint64) Options {
	latency := standin.Latency{Median: 4 * time.Millisecond, Sigma: 0.4, PerShard: 0.15, StragglerFactor: 20}
	settings := engine.DefaultSettings()
	return Options{
		Seed:         seed,
		Zones:        []Zone{{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}},
		NodesPerZone: 2, Distances: DefaultDistances(), Engine: settings, MachineListLag: 2 * time.Second,
		Services: []Service{
			{Name: "lookup", BackEnds: 4, Slots: 5, Connections: 75, Latency: latency, MinimumCoverage: 0.25, Deadline: 300 * time.Millisecond, TailBudget: 150 * time.Millisecond},
			{Name: "archive", BackEnds: 8, Slots: 3, Connections: 110, Latency: latency, MinimumCoverage: 0.5, Deadline: 400 * time.Millisecond, CoverageFirst: true},
		},
	}
}
