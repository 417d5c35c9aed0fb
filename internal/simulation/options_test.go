package simulation

import (
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/standin"
)

// Zone is an availability zone. Latency between zones of one region is lower than between regions.
type Zone struct {
	Name   string
	Region string
}

// Service describes a simulated service: its back ends and the values of its intent.
type Service struct {
	Name        string
	BackEnds    int
	Slots       int
	Connections int
	Latency     standin.Latency
	// MinimumCoverage, CoverageFirst, Deadline and TailBudget are values of the service's intent.
	MinimumCoverage float64
	CoverageFirst   bool
	Deadline        time.Duration
	TailBudget      time.Duration
	// KeysPerShard is the average number of documents in a shard. Zero means three.
	KeysPerShard int
}

// Distances are one-way network latencies. Connect is the additional time to open a connection.
type Distances struct {
	SameZone    time.Duration
	OtherZone   time.Duration
	OtherRegion time.Duration
	Client      time.Duration
	Connect     time.Duration
}

// DefaultDistances returns the latencies that the system is designed for: about 1 ms between zones, 12 ms between regions,
// 3 ms to clients, 1 ms to connect.
func DefaultDistances() Distances {
	return Distances{
		SameZone: 200 * time.Microsecond, OtherZone: time.Millisecond, OtherRegion: 12 * time.Millisecond,
		Client: 3 * time.Millisecond, Connect: time.Millisecond,
	}
}

// Options configure a simulated world.
type Options struct {
	Seed         uint64
	Zones        []Zone
	NodesPerZone int
	Services     []Service
	Distances    Distances
	Engine       engine.Settings
	// MachineListLag is the delay after which the machine list shows a change.
	MachineListLag time.Duration
}

// FaultProbabilities are the probabilities, from 0 to 1, of faults of single messages, store calls and watch events.
type FaultProbabilities struct {
	// MessageLost is the probability that a message between nodes is lost; the sender is told in half of the cases.
	// MessageDuplicated: it arrives twice. MessageDelayed: it is delayed by up to MaximumDelay.
	MessageLost       float64
	MessageDuplicated float64
	MessageDelayed    float64
	MaximumDelay      time.Duration
	// StoreAnswerLost is the probability that a store write takes effect and its answer is lost.
	StoreAnswerLost float64
	// StoreWriteDelayed is the probability that a store write takes effect only after the client's time-out.
	StoreWriteDelayed float64
	// WatchEventLost is the probability that a watcher does not receive an event.
	WatchEventLost float64
}

// SmallOptions returns the options of the world of random schedules: two regions, three zones, six nodes, two services.
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
