package replica

import "time"

// doubt is about an entry that has vanished without proof that the back end leaves: a store in trouble may lose entries
// of back ends that are well.
type doubt struct {
	doubtful bool
	// until is how long the replica is used on, as a second choice.
	until time.Duration
}

// Remove takes in that an entry has vanished. It is used on until a moment, as a second choice; not at all where that
// is not later than now. It reports whether that changed anything.
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

// ExpireDoubtful forgets vanished entries whose time of doubt is over, and returns their ids.
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
