package peerclock_test

import (
	"testing"

	"pgregory.net/rapid"

	"stiletrail/internal/clock"
	"stiletrail/internal/message"
	"stiletrail/internal/peerclock"
)

const peer = "10.0.0.2:1"

// TestEarliest: an event that a peer dates is placed no later than it happened, and earlier by at most the time of the round
// trip in which the peer's clock was measured, however late the event is heard of.
func TestEarliest(t *testing.T) {
	own, other := peerclock.New(1000), peerclock.New(5_000_000)
	// The peer's clock reads 700 when this node's reads 0. The request takes 30 ms and the answer 4 s.
	request := own.Request(100, peer)
	own.Receive(4130, peer, other.Answer(830, request))
	for _, heardAfter := range []clock.Ms{1, 50, 3000} {
		happenedAt := clock.Ms(9000)
		moment, known := own.Earliest(happenedAt+heardAfter, peer, other.Reading(happenedAt+700))
		if !known || moment > happenedAt || moment < happenedAt-30-5 {
			t.Errorf("an event at 9000 ms, heard of %d ms later, is placed at %d ms (known: %v), want 8965 to 9000", heardAfter, moment, known)
		}
	}
}

// TestClockOfAnotherProcess: the readings of a process that has started at the address of another one are not placed by the
// clock of that one.
func TestClockOfAnotherProcess(t *testing.T) {
	own, before, after := peerclock.New(1000), peerclock.New(5_000_000_000), peerclock.New(7_000_000_000)
	own.Receive(120, peer, before.Answer(0, own.Request(100, peer)))
	if _, known := own.Earliest(200, peer, after.Reading(50)); known {
		t.Error("a reading of another process is placed")
	}
	if own.Request(5000, peer) == nil {
		t.Error("the clock of the new process is not asked for")
	}
}

// TestAnswerOfEarlierRequest: an answer to the request of an earlier process of this node measures nothing.
func TestAnswerOfEarlierRequest(t *testing.T) {
	before, own, other := peerclock.New(1_000_000_000), peerclock.New(2_000_000_000), peerclock.New(5_000_000)
	own.Request(100, peer)
	own.Receive(150, peer, other.Answer(0, before.Request(100, peer)))
	if _, known := own.Earliest(200, peer, other.Reading(0)); known {
		t.Error("a reading is placed by the answer to a request of an earlier process")
	}
}

// TestDrawnClocks: whatever the delays of messages, the drift of the clocks and the restarts of the peer, no event is placed
// later than it happened.
func TestDrawnClocks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		world := newDrawnClocks(rt)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			world.now += clock.Ms(rapid.IntRange(1, 20_000).Draw(rt, "pause"))
			world.deliver()
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				world.restart()
			case 1, 2:
				world.measure()
			default:
				world.report()
			}
		}
	})
}

const originDistance = 1 << 40

// drawnClocks is a node and a peer whose clocks drift apart, with messages under way.
type drawnClocks struct {
	rt *rapid.T
	// now is the true time, which this node's clock shows.
	now  clock.Ms
	own  *peerclock.Core
	peer *peerclock.Core
	// origin is that of the peer's process. Those of two processes are far apart, as random ones are.
	origin uint64
	// startedAt is when the peer's process started, drift by how many parts in a million its clock is fast.
	startedAt clock.Ms
	drift     int64
	underWay  []drawnMessage
}

// drawnMessage is an answer of the peer, or without one a reading that the peer gave at happenedAt.
type drawnMessage struct {
	arrivesAt  clock.Ms
	answer     *message.ClockAnswer
	reading    uint64
	happenedAt clock.Ms
}

func newDrawnClocks(rt *rapid.T) *drawnClocks {
	w := &drawnClocks{rt: rt, own: peerclock.New(rapid.Uint64().Draw(rt, "own origin")), origin: rapid.Uint64().Draw(rt, "origin")}
	w.restart()
	return w
}

func (w *drawnClocks) restart() {
	w.origin += originDistance
	w.peer, w.startedAt = peerclock.New(w.origin), w.now
	w.drift = rapid.Int64Range(-200, 200).Draw(w.rt, "drift")
}

// peerTime returns what the peer's own clock counts at a moment.
func (w *drawnClocks) peerTime(at clock.Ms) clock.Ms {
	return at - w.startedAt + clock.Ms(int64(at-w.startedAt)*w.drift/1_000_000)
}

func (w *drawnClocks) delay() clock.Ms {
	return clock.Ms(rapid.IntRange(1, 5000).Draw(w.rt, "delay"))
}

func (w *drawnClocks) measure() {
	if request := w.own.Request(w.now, peer); request != nil {
		answeredAt := w.now + w.delay()
		w.underWay = append(w.underWay, drawnMessage{arrivesAt: answeredAt + w.delay(), answer: w.peer.Answer(w.peerTime(answeredAt), request)})
	}
}

func (w *drawnClocks) report() {
	w.underWay = append(w.underWay, drawnMessage{arrivesAt: w.now + w.delay(), reading: w.peer.Reading(w.peerTime(w.now)), happenedAt: w.now})
}

// deliver hands over the messages that have arrived.
func (w *drawnClocks) deliver() {
	var left []drawnMessage
	for _, m := range w.underWay {
		switch {
		case m.arrivesAt > w.now:
			left = append(left, m)
		case m.answer != nil:
			w.own.Receive(w.now, peer, m.answer)
		default:
			if moment, known := w.own.Earliest(w.now, peer, m.reading); known && moment > m.happenedAt {
				w.rt.Fatalf("an event at %d ms is placed at %d ms, heard of at %d ms", m.happenedAt, moment, w.now)
			}
		}
	}
	w.underWay = left
}
