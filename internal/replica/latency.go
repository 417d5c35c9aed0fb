package replica

import "time"

const (
	// latencyWeight is the weight of a new sample in the moving average, floorGain that of one above the floor.
	latencyWeight = 0.3
	minimumWeight = 0.01
	// latencyHalfLife is the time in which the latency of an unused replica halves, so that it is tried again.
	latencyHalfLife = 2 * time.Second
	// unknownLatency stands for the latency of a replica without a sample. Nothing decays to less.
	unknownLatency = 10 * time.Millisecond
)

// latency is how long answers of a replica take.
type latency struct {
	// average moves with each sample; 0 before the first one.
	average time.Duration
	// minimum is the least that they take of late; 0 before the first answer.
	minimum   time.Duration
	sampledAt time.Duration
}

// expected is the average, decayed while the replica is unused.
func (l *latency) expected(now time.Duration) time.Duration {
	if l.average == 0 {
		return unknownLatency
	}
	return max(l.decay(now, l.average), unknownLatency)
}

// decay halves what was learned for each half-life in which the replica was not tried, down to unknownLatency.
func (l *latency) decay(now, learned time.Duration) time.Duration {
	for unused := now - l.sampledAt; unused >= latencyHalfLife && learned > unknownLatency; unused -= latencyHalfLife {
		learned /= 2
	}
	return learned
}

func (l *latency) addSample(now, elapsed time.Duration) {
	if l.average == 0 {
		l.average = elapsed
	} else {
		average := l.expected(now)
		l.average = average + time.Duration(latencyWeight*float64(elapsed-average))
	}
	l.sampledAt = now
}

// recordMinimum follows the least latencies down at once and up slowly.
func (l *latency) recordMinimum(elapsed time.Duration) {
	if l.minimum == 0 || elapsed < l.minimum {
		l.minimum = elapsed
		return
	}
	l.minimum += time.Duration(minimumWeight * float64(elapsed-l.minimum))
}
