package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic and trouble of the case.
const (
	// memoryMb is what the platform gives a gateway.
	memoryMb       = 284
	memoryLookedAt = 50 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	// callersOfRoute are the callers of each gateway on each route. Each keeps its connection and sends one request after the
	// other.
	callersOfRoute = 6
	fetchFor       = 60 * time.Second
	fetchWork      = 110 * time.Millisecond
	fetchDeadline  = 15 * time.Second
	fetchPause     = 200 * time.Millisecond
	// endlessPercent is the share of the answers in whose place faulty back ends send bytes that are no answer, until the
	// connection is closed.
	endlessPercent = 2
	// lostAllowed is how many requests each gateway may pass on and leave without an answer.
	lostAllowed = 3
	// A day counts 0 if processes end by themselves endsAllowed times on nodesAllowed machines.
	endsAllowed  = 3
	nodesAllowed = 2
)

// playEndlessHead sends requests to two services, while back ends of the first send bytes without an end in place of some
// answers. The platform kills a gateway whose memory goes over its limit, and starts it again. Judged are the requests to the
// second service, whose back ends are sound all along.
func playEndlessHead(d *deployment, trouble bool) []string {
	faulty := d.addBackEnds("vault", 3, fetchWork, 2*fetchWork)
	d.addBackEnds("console", 3, fetchWork, 2*fetchWork)
	d.configure(route{"vault", "/vault/", "non_idempotent"}, route{"console", "/console/", "idempotent"})
	d.startNodes()
	time.Sleep(6 * time.Second)
	end := time.Now().Add(fetchFor)
	if trouble {
		go playFaults(faulty, end, endlessPercent, func(b *backEnd) *atomic.Int64 { return &b.endlessPercent })
	}
	stop := make(chan struct{})
	var platforms, callers sync.WaitGroup
	for _, n := range d.nodes {
		platforms.Go(func() { watchMemory(d, n, stop) })
		for i := range callersOfRoute {
			callers.Go(func() { fetchUntil(d, n, "/vault/", fmt.Sprintf("%s-vault-%d", n.name, i), end) })
			callers.Go(func() {
				lost := fetchUntil(d, n, "/console/", fmt.Sprintf("%s-console-%d", n.name, i), end)
				n.lost.Add(int64(lost))
			})
		}
	}
	callers.Wait()
	close(stop)
	platforms.Wait()
	return judgeNodes(d)
}

// judgeNodes returns the violations of LOST, and of Fault, by what the gateways left without an answer and how often they ended.
func judgeNodes(d *deployment) (violations []string) {
	ended := 0
	for _, n := range d.nodes {
		summary := fmt.Sprintf("%s took %d MB at most, was killed %d times for its memory, and left %d requests at sound back ends without an answer",
			n.name, n.peakMb, n.memoryKills, n.lost.Load())
		d.record.note("%s", summary)
		fmt.Println(summary)
		if lost := n.lost.Load(); lost > lostAllowed {
			violations = append(violations, fmt.Sprintf("LOST: %s passed on %d requests of kept connections to sound back ends and closed these without an answer", n.name, lost))
		}
		if n.memoryKills >= endsAllowed {
			ended++
		}
	}
	if ended >= nodesAllowed {
		violations = append(violations, fmt.Sprintf("Fault: on %d machines processes ended by themselves %d times or more", ended, endsAllowed))
	}
	return violations
}

// watchMemory kills a gateway whose memory goes over its limit, and starts it again after a short delay.
func watchMemory(d *deployment, n *node, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryLookedAt):
		}
		mb := residentMb(n.process.Process.Pid)
		n.peakMb = max(n.peakMb, mb)
		if mb <= memoryMb {
			continue
		}
		d.record.note("%s takes %d MB and is killed", n.name, mb)
		n.memoryKills++
		n.kill()
		time.Sleep(restartDelay)
		n.start()
	}
}

// residentMb returns the resident memory of a process in megabytes.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// fetchUntil sends the requests of one caller over a connection that it keeps. It returns how many reached a back end that
// began to work on them, while their connection, which had carried an answer before, ended without one.
func fetchUntil(d *deployment, n *node, prefix, name string, end time.Time) (lost int) {
	var socket net.Conn
	var reader *bufio.Reader
	kept := false
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(rand.N(2 * fetchPause))
		if socket == nil {
			opened, err := net.DialTimeout("tcp4", n.callers, time.Second)
			if err != nil {
				continue
			}
			socket, reader, kept = opened, bufio.NewReader(opened), false
		}
		id := fmt.Sprintf("%s-%d", name, i)
		d.record.requestSent(id, n.name)
		status := fetchOnce(socket, reader, prefix+id, id)
		d.record.requestAnswered(id, status)
		if status != 0 {
			kept = true
			continue
		}
		_ = socket.Close()
		socket = nil
		if kept && d.record.hasRun(id) {
			lost++
		}
	}
	if socket != nil {
		_ = socket.Close()
	}
	return lost
}

// fetchOnce sends one request and returns the status of its answer, 0 if the connection ended without a whole one.
func fetchOnce(socket net.Conn, reader *bufio.Reader, path, id string) int {
	_ = socket.SetDeadline(time.Now().Add(fetchDeadline + time.Second))
	if _, err := fmt.Fprintf(socket, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, host, id, fetchDeadline.Milliseconds()); err != nil {
		return 0
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
