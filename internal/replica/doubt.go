package replica

import "time"

// doubt marks an entry that has vanished from the store without proof that its back end has left: a store in trouble
// may lose the entries of healthy back ends.
type doubt struct {
	doubtful bool
	// until is the time up to which the replica is still used, as a second choice.
	until time.Duration
}

// Remove handles an entry that has vanished from the store. The replica remains in use until the given time, as a
// second choice; it is removed at once if that time is not later than now. Remove reports whether anything changed.
func (s *Set) Remove(now time.Duration, id string, until time.Duration) bool {
	known := s.byID[id]
	if known == nil {
		s.dropHeldEntry(id)
		return false
	}
	if until <= now {
		s.recordDeparture(now, known)
		s.forget(known)
		return true
	}
	if known.doubt.doubtful {
		return false
	}
	known.doubt = doubt{doubtful: true, until: until}
	return true
}

// ExpireDoubtful removes the replicas whose entries vanished and whose time as doubtful has passed, and returns
// their ids.
func (s *Set) ExpireDoubtful(now time.Duration) []string {
	var expired []string
	for id, known := range s.byID {
		if known.doubt.doubtful && now >= known.doubt.until {
			expired = append(expired, id)
			s.recordDeparture(now, known)
			s.forget(known)
		}
	}
	return expired
}
