package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// applyWithin is the bound on a configuration and on a leaving back end, and contactTime the time after which an undisturbed
// machine is in touch.
const (
	applyWithin = 3 * time.Second
	contactTime = 5 * time.Second
)

// restartDelay is the short delay after which the platform starts a process again that has ended, unless a node has its own.
const restartDelay = 300 * time.Millisecond

// node is a machine that runs a gateway as the deploy file says. The platform starts its process again when it ends.
type node struct {
	name, zone            string
	callers, ready, peer  string
	link, storeLink       *link
	program, folder, boot string
	settings              string
	record                *record
	isReady               atomic.Bool
	mu                    sync.Mutex
	command               *exec.Cmd
	stopped               bool
	// restartAfter is the delay after which the process is started again.
	restartAfter time.Duration
	ended        chan struct{}
}

// The ports of nodes lie below those that the system gives to outgoing connections, one of which could otherwise take the
// port of a process that is about to start again.
const (
	firstPort = 20000
	portCount = 12000
	portTries = 1000
)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	var last error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			return address, listener.Close()
		}
		last = err
	}
	return "", last
}

// newNode returns a node that is not started. Other nodes reach it through its link.
func newNode(r *record, program, folder, name, zone string) (*node, error) {
	n := &node{name: name, zone: zone, program: program, folder: folder, record: r, ended: make(chan struct{}), restartAfter: restartDelay}
	for _, address := range []*string{&n.callers, &n.ready, &n.peer} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	l, err := newLink(n.peer, zone)
	if err != nil {
		return nil, err
	}
	n.link = l
	n.boot = filepath.Join(folder, name+".yaml")
	return n, nil
}

// settingsOf returns the lines that the template of the deploy file gives, filled for a small deployment. The peers reach
// the node at the address of its link.
func settingsOf(n *node, zones []string, seeds []string) string {
	var regions []string
	for _, zone := range zones {
		regions = append(regions, zone+"=region-"+zone)
	}
	return strings.Join([]string{
		fmt.Sprintf("node: %q", n.name),
		fmt.Sprintf("caller_address: %q", n.callers),
		fmt.Sprintf("ready_address: %q", n.ready),
		fmt.Sprintf("store_address: %q", n.storeLink.address),
		fmt.Sprintf("peer_address: %q", n.peer),
		fmt.Sprintf("peer_advertised_address: %q", n.link.address),
		fmt.Sprintf("seeds: [%s]", strings.Join(seeds, ",")),
		fmt.Sprintf("zone: %q", n.zone),
		fmt.Sprintf("regions: [%s]", strings.Join(regions, ",")),
		"stop_within: 6s", "entry_interval: 1200ms",
		fmt.Sprintf("leaving_time: %dms", applyWithin.Milliseconds()), fmt.Sprintf("apply_within: %dms", applyWithin.Milliseconds()),
		"retry_share: 0.2", "retry_window: 10s", "retry_slack: 58",
		fmt.Sprintf("quota_window: %ds", quotaWindow/time.Second),
		fmt.Sprintf("quota_overage: %v", quotaOverage),
		fmt.Sprintf("quota_slack: %v", quotaSlack),
		"memory_mb: 284", "",
	}, "\n")
}

// start starts the process, and again whenever it ends, until stop is called.
func (n *node) start() error {
	if err := os.WriteFile(n.boot, []byte(n.settings), 0o600); err != nil {
		return err
	}
	if err := n.startProcess(); err != nil {
		return err
	}
	go n.keepRunning()
	go n.askReady()
	return nil
}

func (n *node) startProcess() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(n.program, "--settings", n.boot)
	n.command.Stdout, n.command.Stderr = log, log
	n.record.add("start node=%s", n.name)
	return n.command.Start()
}

func (n *node) keepRunning() {
	defer close(n.ended)
	for {
		n.mu.Lock()
		command := n.command
		n.mu.Unlock()
		_ = command.Wait()
		n.record.add("ended node=%s", n.name)
		time.Sleep(n.restartAfter)
		n.mu.Lock()
		stopped := n.stopped
		n.mu.Unlock()
		if stopped || n.startProcess() != nil {
			return
		}
	}
}

// askReady asks the node each second whether it is ready. It is taken out after two questions in a row without a 200.
func (n *node) askReady() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for missed := 0; ; time.Sleep(time.Second) {
		response, err := client.Get("http://" + n.ready + "/ready")
		good := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		missed++
		if good {
			missed = 0
		}
		n.isReady.Store(good || missed < 2 && n.isReady.Load())
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.add("signal node=%s %v", n.name, s)
	_ = n.command.Process.Signal(s)
}

// stop ends the process for good, unless it has ended so before.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	n.mu.Unlock()
	<-n.ended
}
