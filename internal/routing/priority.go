package routing

// Prioritized reports whether it matters who goes first while back ends have too little room: there are tenants, or routes
// of different priority send requests to the same service.
func (t *Table) Prioritized() bool { return t.prioritized }

func prioritized(configuration *Configuration) bool {
	if len(configuration.Tenants) > 0 {
		return true
	}
	byService := map[string]int{}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		for _, service := range route.services() {
			if known, found := byService[service]; found && known != route.Priority {
				return true
			}
			byService[service] = route.Priority
		}
	}
	return false
}

// services returns the services to which requests of the route are sent.
func (r *Route) services() []string {
	if r.FansOut() {
		return r.Shards
	}
	var names []string
	for _, target := range r.Targets {
		if target.Weight > 0 {
			names = append(names, target.Service)
		}
	}
	return names
}
