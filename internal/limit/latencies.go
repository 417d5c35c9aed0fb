package limit

import (
	"math"
	"time"
)

const (
	bucketsPerDoubling = 4
	buckets            = 80
	smallestLatency    = 50 * time.Microsecond
	// halveAt is the total weight at which all counts are halved, so that the histogram follows the last few hundred
	// samples.
	halveAt = 512
)

// LatencyHistogram is a decaying histogram of latencies with logarithmic buckets. A bucket covers a quarter of a
// doubling; together they reach from 50 microseconds to about 50 seconds. The histogram takes 336 bytes.
type LatencyHistogram struct {
	counts [buckets]float32
	total  float32
}

// bucketOf returns the index of the bucket that a latency falls into.
func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	bucket := int(math.Log2(float64(latency)/float64(smallestLatency)) * bucketsPerDoubling)
	return min(bucket, buckets-1)
}

// Record adds a sample.
func (l *LatencyHistogram) Record(latency time.Duration) {
	l.counts[bucketOf(latency)]++
	l.total++
	if l.total < halveAt {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

// Samples returns the decayed weight of the recorded samples.
func (l *LatencyHistogram) Samples() int { return int(l.total) }

// Quantile returns the upper edge of the bucket that holds the quantile. It returns otherwise if Samples is below
// minimum.
func (l *LatencyHistogram) Quantile(quantile float64, minimum int, otherwise time.Duration) time.Duration {
	if l.Samples() < minimum {
		return otherwise
	}
	below := float32(quantile) * l.total
	var sum float32
	for i, count := range l.counts {
		sum += count
		if sum >= below {
			edge := math.Exp2(float64(i+1) / bucketsPerDoubling)
			return time.Duration(float64(smallestLatency) * edge)
		}
	}
	return otherwise
}
