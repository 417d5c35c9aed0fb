package replica

import "time"

const (
	// latencyWeight is the weight of a new sample in the moving average of latencies. minimumWeight is the weight of a
	// sample above the minimum in the moving minimum.
	latencyWeight = 0.3
	minimumWeight = 0.01
	// latencyHalfLife is the time in which the expected latency of an unused replica halves, so that a slow replica is
	// tried again.
	latencyHalfLife = 2 * time.Second
	// unknownLatency is the expected latency of a replica without samples. Expected latencies do not decay below it.
	unknownLatency = 10 * time.Millisecond
)

// latency tracks how long a replica takes to answer.
type latency struct {
	// average is the moving average of all samples; 0 before the first one.
	average time.Duration
	// minimum is the moving minimum of the answers' latencies; 0 before the first answer.
	minimum   time.Duration
	sampledAt time.Duration
}

// expected returns the average latency, decayed for the time since the replica was last used.
func (l *latency) expected(now time.Duration) time.Duration {
	if l.average == 0 {
		return unknownLatency
	}
	return max(l.decay(now, l.average), unknownLatency)
}

// decay halves a latency for each half-life since the last sample, down to unknownLatency.
func (l *latency) decay(now, value time.Duration) time.Duration {
	for unused := now - l.sampledAt; unused >= latencyHalfLife && value > unknownLatency; unused -= latencyHalfLife {
		value /= 2
	}
	return value
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

// recordMinimum updates the moving minimum: a lower latency replaces it at once, a higher one raises it slowly.
func (l *latency) recordMinimum(elapsed time.Duration) {
	if l.minimum == 0 || elapsed < l.minimum {
		l.minimum = elapsed
		return
	}
	l.minimum += time.Duration(minimumWeight * float64(elapsed-l.minimum))
}
