package rehearsal

import (
	"fmt"
	"time"

	"stiletrail/internal/standin"
)

// Deployment lists the zones and services of a cluster.
type Deployment struct {
	Zones    []string
	Services []ServiceOptions
}

// ServiceOptions configure a service and its back ends.
type ServiceOptions struct {
	Name     string
	BackEnds int
	// Slots and Connections are the limits of each back end.
	Slots       int
	Connections int
	Latency     standin.Latency
}

// Service times of the back-end stand-ins: lookupLatency for look-ups in small services, searchLatency for searches over many
// shards.
var (
	lookupLatency = standin.Latency{Median: 4 * time.Millisecond, Sigma: 0.35, PerShard: 0.15, StragglerFactor: 20}
	searchLatency = standin.Latency{Median: 8 * time.Millisecond, Sigma: 0.4, PerShard: 0.15, StragglerFactor: 20}
)

// quickstartDeployment returns small services, and two services whose searches cover many shards.
func quickstartDeployment() Deployment {
	small := ServiceOptions{BackEnds: 4, Slots: 5, Connections: 75, Latency: lookupLatency}
	services := append(numberedServices("lookup", 4, small), numberedServices("trade", 6, small)...)
	return Deployment{
		Zones: []string{"zone-a", "zone-b", "zone-c"},
		Services: append(services,
			ServiceOptions{Name: "archive", BackEnds: 25, Slots: 3, Connections: 110, Latency: searchLatency},
			ServiceOptions{Name: "account", BackEnds: 13, Slots: 3, Connections: 110, Latency: searchLatency},
		),
	}
}

// numberedServices returns count services with the same options and the names NAME-1, NAME-2 and so on.
func numberedServices(name string, count int, shape ServiceOptions) []ServiceOptions {
	shapes := make([]ServiceOptions, count)
	for i := range shapes {
		shapes[i] = shape
		shapes[i].Name = fmt.Sprintf("%s-%d", name, i+1)
	}
	return shapes
}
