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

// What holds of places in courses that have them.
const (
	// restrictedPath is of a route that is bound to one region, another one in each version.
	restrictedPath = "/home/"
	// coldTime is how long a back end is cold that has just started or whose zone was taken back; coldBears is what it bears in a second, coldOverage and
	// coldSlack how much more may reach it.
	coldTime    = 4 * clock.Second
	coldRate    = 6
	coldOverage = 1.5
	coldSlack   = 5
	// evacuateWithin is how long back ends of an evacuated zone may get requests.
	evacuateWithin = 5 * time.Second
)

// TestRandomPlacement plays every third seed with a route that is bound to a region, zones that are evacuated and taken back, and cold back ends that bear
// little, beside the usual faults.
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

// allowedRegion is the region that the bound route of a version may be served in.
func allowedRegion(version uint64) string { return fmt.Sprint("r", version%simulatedReplicas) }

// addPlacement adds the bound route to a configuration, and what its cold back ends bear.
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

// evacuateRandomly evacuates a zone now and then, and takes it back some seconds later. Two may be evacuated at once.
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

// checkPlacement: no request leaves the region that its version binds it to, none reaches an evacuated zone later than the bound, and no cold back end gets
// more in a second than it bears with the overage allowed, from all nodes together.
func (s *simulation) checkPlacement() {
	cold := map[*modelBackEnd][]time.Time{}
	for _, a := range s.arrivals {
		zone := a.backEnd.entry.Zone
		result, known := s.results[a.id]
		if known && result.Route != nil && strings.HasPrefix(result.Route.Prefix, restrictedPath) && allowedRegion(result.Version) != "r"+strings.TrimPrefix(zone, "zone-") {
			s.t.Errorf("request %s of version %d reached %s", a.id, result.Version, zone)
		}
		for _, e := range s.evacuations[zone] {
			if a.at.After(s.evacuatedBy(e.begin)) && (e.end.IsZero() || a.at.Before(e.end)) && !s.inOutage(e.begin, a.at) {
				s.t.Errorf("%s got a request %v after its zone was evacuated", a.backEnd.entry.ID, a.at.Sub(e.begin))
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
				s.t.Errorf("%s got %d requests in a second while it was cold", b.entry.ID, count)
			}
		}
	}
}

// evacuatedBy is the moment from which a zone gets nothing that was evacuated at another.
func (s *simulation) evacuatedBy(begin time.Time) time.Time {
	return s.effectiveBy(begin, evacuateWithin)
}
