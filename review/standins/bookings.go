package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic and trouble of the cases.
const (
	// playFor is how long callers send requests. The trouble lasts for troubleFor, again and again, with calmFor between.
	playFor    = 90 * time.Second
	troubleFor = 8 * time.Second
	calmFor    = 2 * time.Second
	// requestsPerSecond is doubled in a burst, which is more than three back ends can bear.
	requestsPerSecond = 70
	burstEvery        = 5 * time.Second
	burstFor          = 2500 * time.Millisecond
	// surplusPercent is the share of the answers that faulty back ends send a second time, and earlyPercent that of the new
	// connections on which they send bytes that are no answer.
	surplusPercent = 6
	earlyPercent   = 10
)

// playRefusedSurplus sends requests that may run once at most to few back ends, which are full now and then, while some
// answers of the back ends are followed by a late surplus copy.
func playRefusedSurplus(d *deployment, trouble bool) []string {
	backEnds := d.addBackEnds("desk", 1, 60*time.Millisecond, 120*time.Millisecond)
	return playBookings(d, trouble, backEnds, surplusPercent, func(b *backEnd) *atomic.Int64 { return &b.surplusPercent })
}

// playEarlyBytes sends requests that may run once at most to many back ends, so that connections seldom are taken again, while
// back ends send bytes that are no answer on some of their new connections.
func playEarlyBytes(d *deployment, trouble bool) []string {
	backEnds := d.addBackEnds("desk", 7, 100*time.Millisecond, 10*time.Millisecond)
	return playBookings(d, trouble, backEnds, earlyPercent, func(b *backEnd) *atomic.Int64 { return &b.earlyPercent })
}

// playBookings sends requests that may run once at most, and makes the back ends faulty now and then. The function fault
// returns how often, in percent, a back end does what it does wrong.
func playBookings(d *deployment, trouble bool, backEnds []*backEnd, percent int64, fault func(*backEnd) *atomic.Int64) []string {
	d.configure(route{service: "desk", prefix: "/book/", kind: "non_idempotent"})
	d.startNodes()
	time.Sleep(2 * time.Second)
	end := time.Now().Add(playFor)
	if trouble {
		go playFaults(backEnds, end, percent, fault)
	}
	sendBookings(d, end)
	for _, b := range backEnds {
		d.record.note("%s sent %d surplus answers, %d of them refusals, and early bytes on %d connections",
			b.id, b.surplusSent.Load(), b.surplusRefusals.Load(), b.earlySent.Load())
	}
	return d.record.runsAndRefusals()
}

// playFaults makes back ends faulty again and again until the end.
func playFaults(backEnds []*backEnd, end time.Time, percent int64, fault func(*backEnd) *atomic.Int64) {
	for time.Now().Before(end) {
		for _, b := range backEnds {
			fault(b).Store(percent)
		}
		time.Sleep(troubleFor)
		for _, b := range backEnds {
			fault(b).Store(0)
		}
		time.Sleep(calmFor)
	}
}

// sendBookings sends requests to the gateways in turn until the end, and waits for the last answers.
func sendBookings(d *deployment, end time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 16 * time.Second}
	var open sync.WaitGroup
	started := time.Now()
	for i := 0; time.Now().Before(end); i++ {
		rate := 1.0 * requestsPerSecond
		if time.Since(started)%burstEvery < burstFor {
			rate *= 2
		}
		n := d.nodes[i%len(d.nodes)]
		open.Add(1)
		go func() {
			defer open.Done()
			book(d, client, n, fmt.Sprintf("booking-%d", i))
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
	}
	open.Wait()
}

// book sends one request.
func book(d *deployment, client *http.Client, n *node, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/book/"+id, strings.NewReader("one bay"))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "15000")
	d.record.requestSent(id, n.name)
	response, err := client.Do(request)
	if err != nil {
		d.record.requestAnswered(id, 0)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	d.record.requestAnswered(id, response.StatusCode)
}
