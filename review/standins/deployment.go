package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"stiletrail/platform/standin"
)

// program is the gateway as the deploy file builds it.
const program = "target/stiletrail-gateway"

// deployment is a small deployment on loopback: the store, back ends and gateways.
type deployment struct {
	record *record
	store  *standin.Store
	// storeAddress is where the store listens.
	storeAddress string
	storeServer  *http.Server
	folder       string
	nodes        []*node
	closing      sync.Once
}

// node is a gateway process.
type node struct {
	name    string
	callers string
	ready   string
	// settings is the path of its settings file.
	settings string
	process  *exec.Cmd
	// peakMb is the most memory that it took, and memoryKills how often it was killed for that.
	peakMb, memoryKills int
	// lost counts the requests of kept connections that it passed on to a sound back end and left without an answer.
	lost atomic.Int64
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	n.process = exec.Command(program, "--settings", n.settings)
	if err := n.process.Start(); err != nil {
		panic(err)
	}
}

// kill ends the process at once.
func (n *node) kill() {
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
}

func newDeployment(folder string) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the gateway is not built: %w", err)
	}
	written, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: written, store: standin.NewStore(), storeAddress: listener.Addr().String(), folder: temporary}
	d.store.HideEra()
	d.storeServer = &http.Server{Handler: d.store}
	go func() { _ = d.storeServer.Serve(listener) }()
	return d, nil
}

// close ends all processes that were started, and removes their files.
func (d *deployment) close() {
	d.closing.Do(func() {
		for _, n := range d.nodes {
			n.kill()
		}
		_ = d.storeServer.Close()
		_ = os.RemoveAll(d.folder)
		d.record.close()
	})
}

// zones are those of the deployment, with their regions.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// settings is what deploy/settings.yaml.tmpl gives for a machine of a small deployment.
const settings = `node: "%s"
caller_address: "%s"
ready_address: "%s"
metrics_address: "%s"
store_address: "%s"
peer_address: "%s"
seeds: [%s]
zone: "%s"
regions: ["hall-a=north","hall-b=middle","hall-c=south"]
stop_within: "6s"
entry_interval: "1200ms"
leaving_time: "3000ms"
apply_within: "3000ms"
retry_share: 0.2
retry_window: "10s"
retry_slack: 52
`

// nodesPerZone is the number of gateways in each zone.
const nodesPerZone = 2

// startNodes starts the gateways and waits until all are ready.
func (d *deployment) startNodes() {
	count := nodesPerZone * len(zones)
	addresses := freeAddresses(4 * count)
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", addresses[4*i+3]))
	}
	for i := range count {
		of, zone := addresses[4*i:4*i+4], zones[i%len(zones)]
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), callers: of[0], ready: of[1]}
		text := fmt.Sprintf(settings, n.name, n.callers, n.ready, of[2], d.storeAddress, of[3], strings.Join(seeds, ","), zone)
		n.settings = filepath.Join(d.folder, n.name+".yaml")
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
		n.start()
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		awaitReady(n)
	}
}

// addBackEnds starts back ends of a service in each zone and writes their entries into the store.
func (d *deployment) addBackEnds(service string, inZone int, work, workSpread time.Duration) (backEnds []*backEnd) {
	for i := range inZone * len(zones) {
		b := newBackEnd(fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)], work, workSpread, d.record)
		backEnds = append(backEnds, b)
		d.store.Put("servers/"+b.id, b.entry())
	}
	return backEnds
}

// host is the host of all routes.
const host = "desk.example"

// route is a route to a service.
type route struct{ service, prefix, kind string }

// configure writes a configuration with the given routes.
func (d *deployment) configure(routes ...route) {
	var listed, services []any
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"Name": "to-" + r.service, "Host": host, "PathPrefix": r.prefix, "Type": r.kind, "TimeoutMs": 15000,
			"TargetLatencyMs": 1000, "MaxAttempts": 2, "Priority": 1, "Service": r.service,
		})
		services = append(services, map[string]any{"Name": r.service, "HealthPath": "/health", "MaxConnections": 96})
	}
	d.store.Put("op/config", map[string]any{
		"Version": 3, "Routes": listed, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 60000},
	})
}

// awaitReady waits until a gateway answers that it is ready.
func awaitReady(n *node) {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		if response, err := client.Get("http://" + n.ready + "/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(n.name + " did not get ready")
}

// freeAddresses returns free addresses of loopback.
func freeAddresses(count int) (addresses []string) {
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}
