package rehearsal

import (
	"fmt"
	"time"

	"stiletrail/internal/standin"
)

// Deployment is a set of services with zones.
type Deployment struct {
	Zones    []string
	Services []ServiceOptions
}

// ServiceOptions describes a service of a rehearsal.
type ServiceOptions struct {
	Name     string
	BackEnds int
	// Slots and Connections are those of each back end.
	Slots       int
	Connections int
	Latency     standin.Latency
}

// Service times of the stand-ins: small look-ups and wider searches.
var (
	lookupLatency = standin.Latency{Median: 4 * time.Millisecond, Sigma: 0.35, PerShard: 0.15, StragglerFactor: 20}
	searchLatency = standin.Latency{Median: 8 * time.Millisecond, Sigma: 0.4, PerShard: 0.15, StragglerFactor: 20}
)

// quickstartDeployment has small services, and two whose searches go over many shards.
func quickstartDeployment() Deployment {
	small := ServiceOptions{BackEnds: 4, Slots: 5, Connections: 75, Latency: lookupLatency}
	services := append(named("lookup", 4, small), named("trade", 6, small)...)
	return Deployment{
		Zones: []string{"zone-a", "zone-b", "zone-c"},
		Services: append(services,
			ServiceOptions{Name: "archive", BackEnds: 25, Slots: 3, Connections: 110, Latency: searchLatency},
			ServiceOptions{Name: "account", BackEnds: 13, Slots: 3, Connections: 110, Latency: searchLatency},
		),
	}
}

// named returns so many services of one shape: NAME-1, NAME-2 and so on.
func named(name string, count int, shape ServiceOptions) []ServiceOptions {
	shapes := make([]ServiceOptions, count)
	for i := range shapes {
		shapes[i] = shape
		shapes[i].Name = fmt.Sprintf("%s-%d", name, i+1)
	}
	return shapes
}
