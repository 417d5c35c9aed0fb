package rehearsal

import (
	"fmt"
	"time"

	"stiletrail/internal/standin"
)

// Service times of the stand-ins: small look-ups and wider searches.
var (
	lookupLatency = standin.Latency{Median: 4 * time.Millisecond, Sigma: 0.35, PerShard: 0.15, StragglerFactor: 20}
	searchLatency = standin.Latency{Median: 8 * time.Millisecond, Sigma: 0.4, PerShard: 0.15, StragglerFactor: 20}
)

func services(prefix string, count, backEnds, slots, connections int, latency standin.Latency, coverage bool) []ServiceShape {
	var shapes []ServiceShape
	for i := range count {
		name := prefix
		if count > 1 {
			name = fmt.Sprintf("%s-%d", prefix, i+1)
		}
		shapes = append(shapes, ServiceShape{
			Name: name, BackEnds: backEnds, Slots: slots, Connections: connections, Latency: latency, Coverage: coverage,
		})
	}
	return shapes
}

func join(groups ...[]ServiceShape) []ServiceShape {
	var all []ServiceShape
	for _, group := range groups {
		all = append(all, group...)
	}
	return all
}

// SavedGames is the first deployment at the brief's sizes of today: latency first.
func SavedGames() Deployment {
	const smallConnections, wideConnections = 75, 110
	return Deployment{
		Name: "saved-games", Zones: []string{"zone-a", "zone-b", "zone-c"},
		Services: join(
			services("lookup", 4, 4, 5, smallConnections, lookupLatency, false),
			services("trade", 6, 4, 5, smallConnections, lookupLatency, false),
			services("archive", 1, 25, 3, wideConnections, searchLatency, false),
			services("account", 1, 13, 3, wideConnections, searchLatency, false),
		),
	}
}

// CourtListings is the second deployment at the brief's sizes of today: coverage first.
func CourtListings() Deployment {
	const smallConnections, wideConnections = 65, 95
	return Deployment{
		Name: "court-listings", Zones: []string{"zone-a", "zone-b", "zone-c"},
		Services: join(
			services("portal", 4, 4, 5, smallConnections, lookupLatency, true),
			services("desk", 6, 4, 5, smallConnections, lookupLatency, true),
			services("judgments", 1, 20, 4, wideConnections, searchLatency, true),
			services("console", 1, 10, 4, wideConnections, searchLatency, true),
		),
	}
}

// Deployments returns the deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{"saved-games": SavedGames(), "court-listings": CourtListings()}
}
