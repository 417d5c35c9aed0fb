package quota

import "stiletrail/internal/clock"

const (
	// slotsPerWindow is the number of slots into which a window is divided.
	slotsPerWindow = 100
	// spareSlots is the number of slots for which a use is counted beyond the window. A caller may have sent its request up
	// to a slot before the token is taken.
	spareSlots = 1
)

// slidingCount counts what was used in the window, by slots. A use is counted until the window after the end of its
// slot, so the sum is never too small.
type slidingCount struct {
	width  clock.Ms
	counts []int
	newest int64
	sum    int
}

func newSlidingCount(window clock.Ms) slidingCount {
	return slidingCount{width: slotWidth(window), counts: make([]int, slotsPerWindow+1+spareSlots)}
}

func slotWidth(window clock.Ms) clock.Ms { return max(1, (window+slotsPerWindow-1)/slotsPerWindow) }

func (s *slidingCount) slot(at clock.Ms) int64 { return int64(at / s.width) }

// advance forgets the slots that have left the window.
func (s *slidingCount) advance(now clock.Ms) {
	current := s.slot(now)
	for steps := 0; s.newest < current && steps < len(s.counts); steps++ {
		s.newest++
		s.clear(s.newest)
	}
	s.newest = max(s.newest, current)
}

func (s *slidingCount) clear(slot int64) {
	place := &s.counts[slot%int64(len(s.counts))]
	s.sum -= *place
	*place = 0
}

// add adds a number of uses, which may be negative, to a slot that is not after the time of the last advance. Slots that
// have left the window are ignored.
func (s *slidingCount) add(slot int64, count int) {
	if slot <= s.newest-int64(len(s.counts)) || slot < 0 {
		return
	}
	s.counts[slot%int64(len(s.counts))] += count
	s.sum += count
}

// roomAfter returns how long it takes until at least the given number of uses have left the window.
func (s *slidingCount) roomAfter(now clock.Ms, wanted int) clock.Ms {
	oldest := s.newest - int64(len(s.counts)) + 1
	for slot := max(0, oldest); slot <= s.newest; slot++ {
		wanted -= s.counts[slot%int64(len(s.counts))]
		if wanted <= 0 {
			return clock.Ms(slot+int64(len(s.counts)))*s.width - now
		}
	}
	return clock.Ms(len(s.counts)) * s.width
}
