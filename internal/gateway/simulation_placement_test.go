package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/region"
	"stiletrail/internal/routing"
)

// Routes and limits of runs with placement rules: restricted routes, evacuated zones and cold back ends.
const (
	// restrictedPath is the path of the route that is restricted to one region. Each version restricts it to another
	// one.
	restrictedPath = "/home/"
	// coldTime is how long a back end is cold after it has started or after the evacuation of its zone has ended.
	// coldRate is how many requests per second it can take meanwhile. coldOverage and coldSlack are the factor and
	// the number of requests by which that may be exceeded.
	coldTime    = 4 * clock.Second
	coldRate    = 6
	coldOverage = 1.5
	coldSlack   = 5
	// evacuateWithin is how long the back ends of an evacuated zone may still get requests.
	evacuateWithin = 5 * time.Second
)

// TestRandomPlacement runs every third seed with a route that is restricted to a region, with zones that are
// evacuated and released again, and with cold back ends that can take few requests, in addition to the usual faults.
func TestRandomPlacement(t *testing.T) {
	for _, seed := range seeds() {
		if seed%3 != 0 && len(seeds()) > 1 {
			continue
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed, withPlacement) })
		})
	}
}

// allowedRegion is the region in which the restricted route of a version may be served.
func allowedRegion(version uint64) string { return fmt.Sprint("r", version%simulatedReplicas) }

// addPlacement adds the restricted route and the warm-up limits of the services to a configuration.
func addPlacement(c *routing.Configuration) {
	c.Routes = append(c.Routes, routing.Route{
		Name: "home", Host: "h", Prefix: restrictedPath, Repeatable: true, Timeout: 4 * time.Second, TargetLatency: 250 * time.Millisecond, MaximumAttempts: 2,
		Targets: []routing.Target{{Service: "s0", Weight: 1}}, Regions: region.NewSet(allowedRegion(c.Version)),
	})
	c.Services = append(c.Services, routing.Service{Name: "s2"}, routing.Service{Name: "s3"})
	for i := range c.Services {
		c.Services[i].WarmupTime, c.Services[i].WarmupRate = coldTime, coldRate
	}
}

// evacuateRandomly evacuates a zone now and then, and ends the evacuation some seconds later. Two zones may be
// evacuated at once.
func (s *simulation) evacuateRandomly() {
	if s.placementRandom.IntN(600) != 0 || s.restores != nil && s.restores.incomplete {
		return
	}
	zone := fmt.Sprint("zone-", s.placementRandom.IntN(simulatedReplicas))
	spans := s.evacuations[zone]
	if len(spans) > 0 && spans[len(spans)-1].end.IsZero() {
		return
	}
	s.evacuations[zone] = append(spans, span{begin: time.Now()})
	s.cluster.store.put(evacuationItem(zone))
	time.AfterFunc(time.Duration(6000+s.placementRandom.IntN(6000))*time.Millisecond, func() {
		s.withLock(func() {
			s.evacuations[zone][len(s.evacuations[zone])-1].end = time.Now()
			for _, b := range s.backEnds {
				if b.entry.Zone == zone {
					b.coldUntil = time.Now().Add(coldTime.Duration())
				}
			}
		})
		s.cluster.store.put(evacuationEndItem(zone))
	})
}

// checkPlacement checks that no request leaves the region to which its version restricts it, and that none reaches an
// evacuated zone after the bound. It also checks that no cold back end gets more requests in a second, from all nodes
// together, than it can take plus the allowed excess.
func (s *simulation) checkPlacement() {
	cold := map[*modelBackEnd][]time.Time{}
	for _, a := range s.arrivals {
		zone := a.backEnd.entry.Zone
		result, known := s.results[a.id]
		if known && result.Route != nil && strings.HasPrefix(result.Route.Prefix, restrictedPath) && allowedRegion(result.Version) != "r"+strings.TrimPrefix(zone, "zone-") {
			s.t.Errorf("request %s of version %d reached a back end in %s, outside its region", a.id, result.Version, zone)
		}
		for _, e := range s.evacuations[zone] {
			if a.at.After(s.evacuatedBy(e.begin)) && (e.end.IsZero() || a.at.Before(e.end)) && !s.inOutage(e.begin, a.at) {
				s.t.Errorf("back end %s got a request %v after its zone was evacuated", a.backEnd.entry.ID, a.at.Sub(e.begin))
			}
		}
		if a.cold {
			cold[a.backEnd] = append(cold[a.backEnd], a.at)
		}
	}
	for b, times := range cold {
		slices.SortFunc(times, time.Time.Compare)
		for _, at := range times {
			if count := countBetween(times, at.Add(-time.Second), at); float64(count) > coldRate*coldOverage+coldSlack {
				s.t.Errorf("back end %s got %d requests in a second while it was cold, more than allowed", b.entry.ID, count)
			}
		}
	}
}

// evacuatedBy is the moment from which a zone gets no requests if it was evacuated at the given moment.
func (s *simulation) evacuatedBy(begin time.Time) time.Time {
	return s.effectiveBy(begin, evacuateWithin)
}
