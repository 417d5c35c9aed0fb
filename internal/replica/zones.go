package replica

import "time"

// refreshZone brings up to date what follows from the zone of a replica.
func (s *Set) refreshZone(r *Replica) {
	r.region = s.places.Regions[r.Zone]
	r.evacuated = s.evacuated[r.Zone]
}

// EvacuateZone has the back ends of a zone picked no more, from now on and also those that appear there later. What
// they work on is not cut: the zone is to be left alone, not lost. It reports whether that is news.
func (s *Set) EvacuateZone(zone string) bool {
	if s.evacuated[zone] {
		return false
	}
	s.evacuated[zone] = true
	s.refreshReplicasOfZone(zone)
	return true
}

// RestoreZone ends the evacuation of a zone. Its back ends got nothing for as long as it was evacuated, and come back
// cold. It reports whether that is news.
func (s *Set) RestoreZone(now time.Duration, zone string) bool {
	if !s.evacuated[zone] {
		return false
	}
	delete(s.evacuated, zone)
	s.refreshReplicasOfZone(zone)
	for _, known := range s.byID {
		if known.Zone == zone {
			known.cold.until = max(known.cold.until, now+s.warmups[known.Service].Duration.Duration())
		}
	}
	return true
}

// EvacuatedZones is the number of zones that get nothing.
func (s *Set) EvacuatedZones() int { return len(s.evacuated) }

func (s *Set) refreshReplicasOfZone(zone string) {
	for _, known := range s.byID {
		if known.Zone == zone {
			s.refreshZone(known)
		}
	}
	s.selectSubsets()
}
