package replica

import "time"

// A start of a back end that has left never comes back; what may still name it is an old copy of the store, from which it is no
// longer renewed. A later start under its id is another back end.
const (
	// departedFor is how long it is remembered that a back end has left: the copies that a store comes back from are
	// some seconds old.
	departedFor = time.Minute
	// mostDeparted are remembered at most: thirty times as many as a large fleet sees in a minute.
	mostDeparted = 1024
)

// departed is a back end that has left, as the store said.
type departed struct {
	at time.Duration
	// last is its entry when it left.
	last Entry
	// putAside: the store names it again since, by entry.
	putAside bool
	entry    Entry
}

// DistrustDeparted has entries of back ends that have left put aside until a moment, as old ones: the store has come
// back from a copy.
func (s *Set) DistrustDeparted(until time.Duration) { s.distrustedUntil = until }

// noteDeparted remembers that a back end has left.
func (s *Set) noteDeparted(now time.Duration, left *Replica) {
	if len(s.departed) < mostDeparted {
		s.departed[left.ID] = departed{at: now, last: left.Entry}
	}
}

// sinceDeparture gives an entry as it counts after what is remembered of back ends that have left, and whether it counts now.
// One that may be old is kept for Readmit.
func (s *Set) sinceDeparture(now time.Duration, entry Entry) (counts Entry, current bool) {
	known, found := s.departed[entry.ID]
	switch {
	case !found:
		return entry, true
	case entry.startedBefore(known.last):
		return entry, false
	case entry.startedAfter(known.last):
		delete(s.departed, entry.ID)
		return entry, true
	}
	// Without a start nothing tells whether it is the back end that left or one that started since.
	entry.Draining = entry.Draining || known.last.Draining && entry.StartedAt != 0
	if now >= s.distrustedUntil {
		delete(s.departed, entry.ID)
		return entry, true
	}
	known.putAside, known.entry = true, entry
	s.departed[entry.ID] = known
	return entry, false
}

// dropPutAside takes in that an entry has vanished that was put aside.
func (s *Set) dropPutAside(id string) {
	if known, found := s.departed[id]; found && known.putAside {
		s.departed[id] = departed{at: known.at, last: known.last}
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
		case known.putAside:
			delete(s.departed, id)
			s.Put(now, known.entry)
			readmitted = append(readmitted, known.entry)
		case now-known.at >= departedFor:
			delete(s.departed, id)
		}
	}
	return readmitted
}
