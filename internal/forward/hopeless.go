package forward

// A request is given up at once if it surely can't succeed any more: so many of its shards wait for an extra attempt that the
// budgets of their services can't allow before the deadline that too few others are left. Its attempts are cancelled, so
// that back ends work on others, and the caller is told while there is time to come back. One that has run, or may have,
// is answered as such.
//
// Only budgets count here. A replica that has refused may accept a moment later.

// hopeless reports whether the request surely can't succeed any more.
func (r *Request) hopeless() bool {
	if !r.settings.ExtrasByNeed || !r.route.FansOut() {
		return false
	}
	spare := r.answered + r.openShards() - r.requiredShards()
	for i := range r.shards {
		if s := &r.shards[i]; s.waitsForBudget() && r.node.EarliestExtra(s.service) >= r.timing.deadline {
			spare--
		}
	}
	return spare < 0
}

// waitsForBudget reports whether the shard has no attempt in flight and needs an extra attempt that was denied for lack of
// budget.
func (s *shard) waitsForBudget() bool {
	_, waits := s.state.(paused)
	return waits && !s.retryIsFree() && s.denied == DeniedNoBudget && !s.extraAsked
}
