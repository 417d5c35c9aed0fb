package routing

// Splitter divides the requests of routes among their targets by smooth weighted round robin: over any run of
// requests, each target's share is within one request of its weight. It is not safe for concurrent use.
type Splitter struct {
	// credits are the accumulated weights by route name and service. They are kept across versions, so that frequent
	// changes of a configuration do not restart the cycle.
	credits map[string]map[string]float64
}

// NewSplitter returns a Splitter that has seen no requests.
func NewSplitter() *Splitter { return &Splitter{credits: map[string]map[string]float64{}} }

// Next returns the service that the route's next request goes to.
func (s *Splitter) Next(route *Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	credits := s.credits[route.Name]
	if credits == nil {
		credits = map[string]float64{}
		s.credits[route.Name] = credits
	}
	total, best := 0.0, ""
	for _, target := range route.Targets {
		if target.Weight <= 0 {
			continue
		}
		total += target.Weight
		credits[target.Service] += target.Weight
		if best == "" || credits[target.Service] > credits[best] {
			best = target.Service
		}
	}
	credits[best] -= total
	return best
}

// Retain drops the state of routes that a configuration no longer has.
func (s *Splitter) Retain(table *Table) {
	names := map[string]bool{}
	for i := range table.configuration.Routes {
		names[table.configuration.Routes[i].Name] = true
	}
	for name := range s.credits {
		if !names[name] {
			delete(s.credits, name)
		}
	}
}
