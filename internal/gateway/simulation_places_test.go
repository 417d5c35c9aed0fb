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
	// homePath is of a route that is bound to one region, another one in each version.
	homePath = "/home/"
	// coldFor is how long a back end is cold that has just started or whose zone was taken back; coldBears is what it bears in a second, coldOverage and
	// coldSlack how much more may reach it.
	coldFor     = 4 * clock.Second
	coldBears   = 6
	coldOverage = 1.5
	coldSlack   = 5
	// evacuateWithin is how long back ends of an evacuated zone may get requests.
	evacuateWithin = 5 * time.Second
)

// TestRandomPlaces plays every third seed with a route that is bound to a region, zones that are evacuated and taken back, and cold back ends that bear
// little, beside the usual faults.
func TestRandomPlaces(t *testing.T) {
	for _, seed := range seeds() {
		if seed%3 != 0 && len(seeds()) > 1 {
			continue
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed, withPlaces) })
		})
	}
}

// homeOf is the region that the bound route of a version may be served in.
func homeOf(version uint64) string { return fmt.Sprint("r", version%simulatedReplicas) }

// bindPlaces adds the bound route to a configuration, and what its cold back ends bear.
func bindPlaces(c *routing.Configuration) {
	c.Routes = append(c.Routes, routing.Route{
		Name: "home", Host: "h", Prefix: homePath, Repeatable: true, Timeout: 4 * time.Second, TargetLatency: 250 * time.Millisecond, MaximumAttempts: 2,
		Targets: []routing.Target{{Service: "s0", Weight: 1}}, Regions: region.NewSet(homeOf(c.Version)),
	})
	c.Services = append(c.Services, routing.Service{Name: "s2"}, routing.Service{Name: "s3"})
	for i := range c.Services {
		c.Services[i].WarmupTime, c.Services[i].WarmupRate = coldFor, coldBears
	}
}

// evacuateSome evacuates a zone now and then, and takes it back some seconds later. Two may be evacuated at once.
func (s *simulation) evacuateSome() {
	if s.places.IntN(600) != 0 || s.copies != nil && s.copies.away {
		return
	}
	zone := fmt.Sprint("zone-", s.places.IntN(simulatedReplicas))
	spans := s.evacuations[zone]
	if len(spans) > 0 && spans[len(spans)-1].end.IsZero() {
		return
	}
	s.evacuations[zone] = append(spans, span{begin: time.Now()})
	s.cluster.store.put(evacuation(zone))
	time.AfterFunc(time.Duration(6000+s.places.IntN(6000))*time.Millisecond, func() {
		s.locked(func() {
			s.evacuations[zone][len(s.evacuations[zone])-1].end = time.Now()
			for _, b := range s.backEnds {
				if b.entry.Zone == zone {
					b.coldUntil = time.Now().Add(coldFor.Duration())
				}
			}
		})
		s.cluster.store.put(takenBack(zone))
	})
}

// checkPlaces: no request leaves the region that its version binds it to, none reaches an evacuated zone later than the bound, and no cold back end gets
// more in a second than it bears with the overage allowed, from all nodes together.
func (s *simulation) checkPlaces() {
	cold := map[*modelBackEnd][]time.Time{}
	for _, a := range s.arrivals {
		zone := a.backEnd.entry.Zone
		result, known := s.ends[a.id]
		if known && result.Route != nil && strings.HasPrefix(result.Route.Prefix, homePath) && homeOf(result.Version) != "r"+strings.TrimPrefix(zone, "zone-") {
			s.t.Errorf("request %s of version %d reached %s", a.id, result.Version, zone)
		}
		for _, e := range s.evacuations[zone] {
			if a.at.After(s.evacuated(e.begin)) && (e.end.IsZero() || a.at.Before(e.end)) && !s.inOutage(e.begin, a.at) {
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
			if count := within(times, at.Add(-time.Second), at); float64(count) > coldBears*coldOverage+coldSlack {
				s.t.Errorf("%s got %d requests in a second while it was cold", b.entry.ID, count)
			}
		}
	}
}

// evacuated is the moment from which a zone gets nothing that was evacuated at another.
func (s *simulation) evacuated(begin time.Time) time.Time { return s.due(begin, evacuateWithin) }
