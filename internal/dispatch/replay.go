package dispatch

import (
	"time"

	"stiletrail/internal/query"
)

// replayBits is the size of a replay window: how many sequence numbers behind the newest one a sub-query may arrive and
// still be served.
const replayBits = 4096

// replayWindow records which sub-queries of one generation of a root were received, as a bitmap behind the newest
// sequence number. A duplicate must not be served: its first copy may have run, or may have been refused as not run. A
// sub-query older than the window is treated as a duplicate.
type replayWindow struct {
	newest uint64
	bits   [replayBits / 64]uint64
	lastAt time.Duration
}

// accept reports whether a sequence number is received for the first time, and records it.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence > w.newest {
		w.advance(sequence)
		return true
	}
	if w.newest-sequence >= replayBits || w.isSet(sequence) {
		return false
	}
	w.set(sequence)
	return true
}

// advance moves the window to a newer sequence number and clears the bits of the numbers in between.
func (w *replayWindow) advance(sequence uint64) {
	if sequence-w.newest >= replayBits {
		clear(w.bits[:])
	} else {
		for skipped := w.newest + 1; skipped < sequence; skipped++ {
			w.unset(skipped)
		}
	}
	w.newest = sequence
	w.set(sequence)
}

// position returns the index of the word and the mask of the bit for a sequence number.
func (w *replayWindow) position(sequence uint64) (word, bit uint64) {
	return sequence % replayBits / 64, uint64(1) << (sequence % 64)
}

func (w *replayWindow) isSet(sequence uint64) bool {
	word, bit := w.position(sequence)
	return w.bits[word]&bit != 0
}

func (w *replayWindow) set(sequence uint64) {
	word, bit := w.position(sequence)
	w.bits[word] |= bit
}

func (w *replayWindow) unset(sequence uint64) {
	word, bit := w.position(sequence)
	w.bits[word] &^= bit
}

// rootRetention is how long the window of a root that sends nothing is kept. No frame is delayed that long, since
// frames do not outlive their connection.
const rootRetention = 10 * time.Minute

// replayed reports whether the sub-query was received before, and records it.
func (c *Core) replayed(now time.Duration, id query.ID) bool {
	window := c.roots[id.Generation]
	if window == nil {
		window = &replayWindow{}
		c.roots[id.Generation] = window
	}
	window.lastAt = now
	return !window.accept(id.Sequence)
}

// expireRoots deletes the replay windows of roots that have sent nothing for rootRetention.
func (c *Core) expireRoots(now time.Duration) {
	for generation, window := range c.roots {
		if now-window.lastAt > rootRetention {
			delete(c.roots, generation)
		}
	}
}
