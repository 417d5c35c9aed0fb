package rehearsal

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"stiletrail/internal/failure"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// Report is the result of a load. Latencies are in milliseconds and count from the scheduled time of a search, which avoids
// coordinated omission.
type Report struct {
	Searches int `json:"searches"`
	Complete int `json:"complete"`
	Partial  int `json:"partial"`
	// Refused counts searches refused as not run, Failed all other failures. NotSent counts searches that the load generator did
	// not send, because too many were in flight.
	Refused  int                  `json:"refused"`
	Failed   int                  `json:"failed"`
	NotSent  int                  `json:"not_sent"`
	Wrong    int                  `json:"wrong"`
	Failures map[failure.Code]int `json:"failures,omitempty"`
	// WrongAnswers counts the wrong answers by what was wrong.
	WrongAnswers map[standin.Fault]int `json:"wrong_answers,omitempty"`
	// MeanCoverage is the mean coverage of all answered searches, from 0 to 1.
	MeanCoverage float64 `json:"mean_coverage"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	P999         float64 `json:"p999_ms"`
	// RefusedP99 is the 99th percentile of the time until a refusal, in milliseconds.
	RefusedP99 float64 `json:"refused_p99_ms"`
	// Goodput is the number of answered searches per second.
	Goodput float64 `json:"goodput"`
}

// recorder collects the outcomes of searches. It may be used by many goroutines.
type recorder struct {
	mutex    sync.Mutex
	report   Report
	latency  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	coverage float64
}

const (
	histogramMaximum   = int64(time.Minute / time.Microsecond)
	histogramPrecision = 3
)

func newRecorder() *recorder {
	return &recorder{
		report:   Report{Failures: map[failure.Code]int{}, WrongAnswers: map[standin.Fault]int{}},
		latency:  hdrhistogram.New(1, histogramMaximum, histogramPrecision),
		refusals: hdrhistogram.New(1, histogramMaximum, histogramPrecision),
	}
}

func (r *recorder) answered(elapsed time.Duration, coverage query.Coverage, fault standin.Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.latency.RecordValue(max(elapsed.Microseconds(), 1))
	r.coverage += coverage.Ratio()
	if coverage.Complete() {
		r.report.Complete++
	} else {
		r.report.Partial++
	}
	if fault != standin.FaultNone {
		r.report.Wrong++
		r.report.WrongAnswers[fault]++
	}
}

func (r *recorder) failed(elapsed time.Duration, problem *failure.Failure) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Failures[problem.Code]++
	if !problem.NotRun {
		r.report.Failed++
		return
	}
	r.report.Refused++
	_ = r.refusals.RecordValue(max(elapsed.Microseconds(), 1))
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

// finish computes the report of all recorded searches over the duration of the load.
func (r *recorder) finish(duration time.Duration) Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answered := r.report.Complete + r.report.Partial
	if answered > 0 {
		r.report.MeanCoverage = r.coverage / float64(answered)
	}
	r.report.P50 = milliseconds(r.latency, 50)
	r.report.P99 = milliseconds(r.latency, 99)
	r.report.P999 = milliseconds(r.latency, 99.9)
	r.report.RefusedP99 = milliseconds(r.refusals, 99)
	r.report.Goodput = float64(answered) / duration.Seconds()
	return r.report
}
