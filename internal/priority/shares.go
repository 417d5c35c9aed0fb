package priority

// Shares counts the attempts in flight of each tenant at this node, and knows which tenants have waiters. The zero value
// counts none. Without tenants all attempts belong to the tenant with the empty name, which is never above its share.
type Shares struct {
	tenants map[string]*tenantUse
	// total is the number of attempts in flight of all tenants.
	total int
}

// tenantUse is what a tenant holds and waits for.
type tenantUse struct{ inFlight, waiting int }

// AttemptStarted counts an attempt in flight, AttemptEnded its end.
func (s *Shares) AttemptStarted(tenant string) { s.change(tenant, 1, 0) }

// AttemptEnded counts the end of an attempt.
func (s *Shares) AttemptEnded(tenant string) { s.change(tenant, -1, 0) }

// WaitBegan counts a waiter.
func (s *Shares) WaitBegan(tenant string) { s.change(tenant, 0, 1) }

// WaitEnded counts the end of a wait.
func (s *Shares) WaitEnded(tenant string) { s.change(tenant, 0, -1) }

// change updates the counts of a tenant. A tenant that neither has attempts in flight nor waits is dropped.
func (s *Shares) change(tenant string, inFlight, waiting int) {
	if s.tenants == nil {
		s.tenants = map[string]*tenantUse{}
	}
	use := s.tenants[tenant]
	if use == nil {
		use = &tenantUse{}
		s.tenants[tenant] = use
	}
	use.inFlight += inFlight
	use.waiting += waiting
	s.total += inFlight
	if use.inFlight == 0 && use.waiting == 0 {
		delete(s.tenants, tenant)
	}
}

// AboveEqual reports whether a tenant holds more than an equal share of the attempts in flight: more than all of them
// divided by the number of tenants that have attempts in flight or wait.
func (s *Shares) AboveEqual(tenant string) bool {
	use := s.tenants[tenant]
	return use != nil && use.inFlight*len(s.tenants) > s.total
}
