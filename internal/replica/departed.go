package replica

import "time"

// An incarnation that has left never comes back. An entry that still names it comes from an outdated copy of the store,
// in which the entry is no longer renewed. A later incarnation of the same id is a different back end.
const (
	// departedRetention is how long a departed back end is remembered. A backup from which the store is restored is
	// some seconds old.
	departedRetention = time.Minute
	// maximumDeparted is the number of departed back ends that are remembered at most: thirty times as many as leave a
	// large fleet in a minute.
	maximumDeparted = 1024
)

// departedBackEnd is a back end that has left according to the store.
type departedBackEnd struct {
	leftAt time.Duration
	// lastEntry is the back end's entry at the time it left.
	lastEntry Entry
	// held is set if the store has listed the id again since then. heldEntry is the entry that it lists.
	held      bool
	heldEntry Entry
}

// DistrustDeparted holds back entries of departed back ends until the given time, since they may be outdated: the store
// has been restored from a backup.
func (s *Set) DistrustDeparted(until time.Duration) { s.distrustedUntil = until }

// recordDeparture remembers that a back end has left.
func (s *Set) recordDeparture(now time.Duration, left *Replica) {
	if len(s.departed) < maximumDeparted {
		s.departed[left.ID] = departedBackEnd{leftAt: now, lastEntry: left.Entry}
	}
}

// reconcileDeparted compares an entry with the departed back end of the same id. It returns the entry with its draining
// state corrected, and whether the entry is valid now. An entry that may be outdated is kept for ReadmitDeparted.
func (s *Set) reconcileDeparted(now time.Duration, entry Entry) (corrected Entry, current bool) {
	known, found := s.departed[entry.ID]
	switch {
	case !found:
		return entry, true
	case entry.startedBefore(known.lastEntry):
		return entry, false
	case entry.startedAfter(known.lastEntry):
		delete(s.departed, entry.ID)
		return entry, true
	}
	// Without a start time nothing shows whether this is the back end that left or one that started since then.
	entry.Draining = entry.Draining || known.lastEntry.Draining && entry.StartedAt != 0
	if now >= s.distrustedUntil {
		delete(s.departed, entry.ID)
		return entry, true
	}
	known.held, known.heldEntry = true, entry
	s.departed[entry.ID] = known
	return entry, false
}

// dropHeldEntry discards the entry that is held back for an id, because it has vanished from the store.
func (s *Set) dropHeldEntry(id string) {
	if known, found := s.departed[id]; found && known.held {
		s.departed[id] = departedBackEnd{leftAt: known.leftAt, lastEntry: known.lastEntry}
	}
}

// ReadmitDeparted stores the entries that were held back and that the store still lists, and returns them: their back
// ends are alive. It also forgets back ends that left more than departedRetention ago. It does nothing before the time
// set with DistrustDeparted.
func (s *Set) ReadmitDeparted(now time.Duration) (readmitted []Entry) {
	if now < s.distrustedUntil {
		return nil
	}
	for id, known := range s.departed {
		switch {
		case known.held:
			delete(s.departed, id)
			s.Put(now, known.heldEntry)
			readmitted = append(readmitted, known.heldEntry)
		case now-known.leftAt >= departedRetention:
			delete(s.departed, id)
		}
	}
	return readmitted
}
