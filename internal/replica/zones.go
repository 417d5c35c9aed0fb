package replica

import "time"

// refreshZone updates the fields of a replica that depend on its zone.
func (s *Set) refreshZone(r *Replica) {
	r.region = s.topology.Regions[r.Zone]
	r.evacuated = s.evacuated[r.Zone]
}

// EvacuateZone stops the back ends of a zone from being picked, including those that appear in the zone later. Requests
// that they are working on continue: the zone is to be emptied, not lost. EvacuateZone reports whether the zone was not
// evacuated before.
func (s *Set) EvacuateZone(zone string) bool {
	if s.evacuated[zone] {
		return false
	}
	s.evacuated[zone] = true
	s.refreshReplicasOfZone(zone)
	return true
}

// RestoreZone ends the evacuation of a zone. The zone's back ends got no requests during the evacuation and are
// therefore cold. RestoreZone reports whether the zone was evacuated before.
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

// EvacuatedZones returns the number of evacuated zones.
func (s *Set) EvacuatedZones() int { return len(s.evacuated) }

func (s *Set) refreshReplicasOfZone(zone string) {
	for _, known := range s.byID {
		if known.Zone == zone {
			s.refreshZone(known)
		}
	}
	s.selectSubsets()
}
