package main

import (
	"os"
	"syscall"
	"time"
)

// fleet is a small deployment: gateways in several zones, the store and back ends.
type fleet struct {
	scene *scene
	store *store
	nodes []*node
	zones []string
}

// newFleet returns a fleet whose nodes are not started. The nodes of a zone follow each other.
func newFleet(s *scene, zones []string, nodesPerZone int) (*fleet, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{scene: s, store: st, zones: zones}
	zoneOf := map[string]string{}
	for _, zone := range zones {
		for i := range nodesPerZone {
			n, err := newNode(s.record, s.program, s.folder, "front-"+zone+"-"+string(rune('1'+i)), zone)
			if err != nil {
				return nil, err
			}
			if n.storeLink, err = newLink(st.address, zone); err != nil {
				return nil, err
			}
			f.nodes = append(f.nodes, n)
			zoneOf[n.link.address] = zone
		}
	}
	for _, n := range f.nodes {
		n.link.zones = zoneOf
	}
	return f, nil
}

// addBackEnd starts a back end and writes its entry.
func (f *fleet) addBackEnd(id, service, zone string, work time.Duration) (*backEnd, error) {
	b, err := newBackEnd(f.scene.record, id, service, zone, work)
	if err != nil {
		return nil, err
	}
	f.store.put("servers/"+id, b.entry("ready"))
	return b, nil
}

// start starts all nodes. The numbered ones are the seeds.
func (f *fleet) start(seedNodes []int) error {
	for _, n := range f.nodes {
		n.settings = settingsOf(n, f.zones, f.seeds(seedNodes))
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) seeds(nodes []int) (addresses []string) {
	for _, i := range nodes {
		addresses = append(addresses, f.nodes[i].link.address)
	}
	return addresses
}

// changeSeeds lays a settings file with other seeds and tells the process of it.
func (f *fleet) changeSeeds(n *node, seedNodes []int) error {
	n.settings = settingsOf(n, f.zones, f.seeds(seedNodes))
	if err := os.WriteFile(n.boot, []byte(n.settings), 0o600); err != nil {
		return err
	}
	f.scene.record.add("seeds of node=%s are now %v", n.name, seedNodes)
	n.signal(syscall.SIGHUP)
	return nil
}

// awaitReady waits until all nodes are ready, or for a time.
func (f *fleet) awaitReady(longest time.Duration) bool {
	for until := time.Now().Add(longest); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if n.isReady.Load() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return true
		}
	}
	return false
}

// pick returns a ready node of a zone for the client with a number, or nil if there is none.
func (f *fleet) pick(zone string, client int) *node {
	var ready []*node
	for _, n := range f.nodes {
		if n.zone == zone && n.isReady.Load() {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[client%len(ready)]
}

// pickAny returns a ready node for the client with a number, or nil if there is none.
func (f *fleet) pickAny(client int) *node {
	var ready []*node
	for _, n := range f.nodes {
		if n.isReady.Load() {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[client%len(ready)]
}

// setCut cuts a zone from the others, or heals the cut.
func (f *fleet) setCut(zone string, cut bool) {
	for _, n := range f.nodes {
		n.link.setCut(zone, cut)
	}
}

// killZone kills the processes of a zone at the same moment.
func (f *fleet) killZone(zone string) {
	for _, n := range f.nodes {
		if n.zone == zone {
			n.signal(syscall.SIGKILL)
		}
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
}
