package replica

import "time"

// A start of a back end that has left never comes back; what may still name it is an old copy of the store, from which it is no
// longer renewed. A later start under its id is another back end.
const (
	// departedRetention is how long it is remembered that a back end has left: the copies that a store comes back from are
	// some seconds old.
	departedRetention = time.Minute
	// maximumDeparted are remembered at most: thirty times as many as a large fleet sees in a minute.
	maximumDeparted = 1024
)

// departedBackEnd is a back end that has left, as the store said.
type departedBackEnd struct {
	leftAt time.Duration
	// lastEntry is its entry when it left.
	lastEntry Entry
	// held: the store names it again since, by entry.
	held      bool
	heldEntry Entry
}

// DistrustDeparted has entries of back ends that have left put aside until a moment, as old ones: the store has come
// back from a copy.
func (s *Set) DistrustDeparted(until time.Duration) { s.distrustedUntil = until }

// recordDeparture remembers that a back end has left.
func (s *Set) recordDeparture(now time.Duration, left *Replica) {
	if len(s.departed) < maximumDeparted {
		s.departed[left.ID] = departedBackEnd{leftAt: now, lastEntry: left.Entry}
	}
}

// reconcileDeparted gives an entry as it counts after what is remembered of back ends that have left, and whether it counts now.
// One that may be old is kept for Readmit.
func (s *Set) reconcileDeparted(now time.Duration, entry Entry) (counts Entry, current bool) {
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
	// Without a start nothing tells whether it is the back end that left or one that started since.
	entry.Draining = entry.Draining || known.lastEntry.Draining && entry.StartedAt != 0
	if now >= s.distrustedUntil {
		delete(s.departed, entry.ID)
		return entry, true
	}
	known.held, known.heldEntry = true, entry
	s.departed[entry.ID] = known
	return entry, false
}

// dropHeldEntry takes in that an entry has vanished that was put aside.
func (s *Set) dropHeldEntry(id string) {
	if known, found := s.departed[id]; found && known.held {
		s.departed[id] = departedBackEnd{leftAt: known.leftAt, lastEntry: known.lastEntry}
	}
}

// ReadmitDeparted takes those entries in that were put aside and that the store still names, and returns them: their back ends
// live. It forgets who left long ago.
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
