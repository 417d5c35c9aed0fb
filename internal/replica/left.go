package replica

import "time"

// A back end that has left never comes back by its id; what may still name it is an old copy of the store, from which it is no longer renewed.
const (
	// leftMemory is how long it is remembered that a back end has left: the copies that a store comes back from are some seconds old.
	leftMemory = time.Minute
	// mostLeft are remembered at most, about as many as a fleet of 71,000 back ends with 29,000 restarts a day sees in a minute, thirty times over.
	mostLeft = 1024
)

// leaver is a back end that has left, as the store said.
type leaver struct {
	at time.Duration
	// waits: the store names it again since, by entry.
	waits bool
	entry Entry
}

// DoubtOld has entries of back ends that have left be taken for old ones until a moment: the store has come back from a copy.
func (s *Set) DoubtOld(until time.Duration) { s.oldUntil = until }

// noteLeft remembers that a back end has left.
func (s *Set) noteLeft(now time.Duration, id string) {
	if len(s.left) < mostLeft {
		s.left[id] = leaver{at: now}
	}
}

// isOld reports whether an entry may be an old one of a back end that has left, and puts it aside if so.
func (s *Set) isOld(now time.Duration, entry Entry) bool {
	known, found := s.left[entry.ID]
	if !found {
		return false
	}
	if now >= s.oldUntil {
		delete(s.left, entry.ID)
		return false
	}
	known.waits, known.entry = true, entry
	s.left[entry.ID] = known
	return true
}

// Readmit takes those entries back that were put aside as old and that the store still names, and returns them: their back ends live. It forgets who
// left long ago.
func (s *Set) Readmit(now time.Duration) (readmitted []Entry) {
	if now < s.oldUntil {
		return nil
	}
	for id, known := range s.left {
		switch {
		case known.waits:
			delete(s.left, id)
			s.Put(now, known.entry)
			readmitted = append(readmitted, known.entry)
		case now-known.at >= leftMemory:
			delete(s.left, id)
		}
	}
	return readmitted
}

// withdrawOld takes in that an entry has vanished that was put aside as old.
func (s *Set) withdrawOld(id string) {
	if known, found := s.left[id]; found && known.waits {
		s.left[id] = leaver{at: known.at}
	}
}
