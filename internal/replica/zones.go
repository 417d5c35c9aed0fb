package replica

import "time"

// locate brings up to date what follows from the zone of a replica.
func (s *Set) locate(r *Replica) {
	r.region = s.places.Regions[r.Zone]
	r.evacuated = s.evacuated[r.Zone]
}

// Evacuate has the back ends of a zone picked no more, from now on and also those that appear there later. What they work on is not cut: the zone
// is to be left alone, not lost. It reports whether that is news.
func (s *Set) Evacuate(zone string) bool {
	if s.evacuated[zone] {
		return false
	}
	s.evacuated[zone] = true
	s.locateZone(zone)
	return true
}

// Return takes a zone back. Its back ends got nothing for as long as it was evacuated, and come back cold. It reports whether that is news.
func (s *Set) Return(now time.Duration, zone string) bool {
	if !s.evacuated[zone] {
		return false
	}
	delete(s.evacuated, zone)
	s.locateZone(zone)
	for _, known := range s.byID {
		if known.Zone == zone {
			known.coldUntil = max(known.coldUntil, now+s.warmups[known.Service].For.Duration())
		}
	}
	return true
}

// Evacuated reports whether the replica's zone is to get nothing.
func (r *Replica) Evacuated() bool { return r.evacuated }

// Cold reports whether the replica is cold: it has just started, or its zone has just been taken back.
func (r *Replica) Cold(now time.Duration) bool { return now < r.coldUntil }

// Evacuated is the number of zones that get nothing.
func (s *Set) Evacuated() int { return len(s.evacuated) }

func (s *Set) locateZone(zone string) {
	for _, known := range s.byID {
		if known.Zone == zone {
			s.locate(known)
		}
	}
	s.preferSubsets()
}
