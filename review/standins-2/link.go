package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// link is the way to a node's address for other nodes. It passes bytes on, and can be cut for the nodes of other zones: it
// then passes nothing in either direction and says nothing.
type link struct {
	address, server, zone string

	mu sync.Mutex
	// cutZone is the zone that is cut from the others, empty if none is.
	cutZone string
	// silent is set while the link passes nothing for anybody.
	silent bool
	open   map[*passage]bool
	// zones gives the zone of each node by the address at which it is reached, which is in the first bytes that it sends.
	zones map[string]string
}

// passage is a connection through a link.
type passage struct {
	from, to net.Conn
	// fromZone is the zone of the node that has opened it.
	fromZone string
	silent   bool
}

func newLink(server, zone string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), server: server, zone: zone, open: map[*passage]bool{}}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(from)
		}
	}()
	return l, nil
}

// setCut cuts a zone from all others, or heals the cut. Connections that were silent are reset when it heals.
func (l *link) setCut(zone string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutZone = ""
	if cut {
		l.cutZone = zone
	}
	for p := range l.open {
		if l.isCut(p) {
			p.silent = true
		}
		if p.silent && !cut {
			_ = p.from.Close()
			if p.to != nil {
				_ = p.to.Close()
			}
		}
	}
}

// setSilent cuts the link for everybody, or heals the cut.
func (l *link) setSilent(silent bool) {
	l.mu.Lock()
	l.silent = silent
	l.mu.Unlock()
	l.setCut(l.zone, silent)
}

// isCut reports whether a passage crosses the cut. The caller holds the lock.
func (l *link) isCut(p *passage) bool {
	if l.silent {
		return true
	}
	return l.cutZone != "" && (p.fromZone == l.cutZone) != (l.zone == l.cutZone)
}

// zoneOf returns the zone of the node that has sent the first bytes of a connection.
func (l *link) zoneOf(first []byte) string {
	for address, zone := range l.zones {
		if bytes.Contains(first, []byte(address)) {
			return zone
		}
	}
	return l.zone
}

// helloTimeout bounds the wait for the first bytes of a connection.
const helloTimeout = 5 * time.Second

func (l *link) pass(from net.Conn) {
	defer func() { _ = from.Close() }()
	first := make([]byte, 4096)
	_ = from.SetReadDeadline(time.Now().Add(helloTimeout))
	n, err := from.Read(first)
	if err != nil {
		return
	}
	_ = from.SetReadDeadline(time.Time{})
	p := &passage{from: from, fromZone: l.zoneOf(first[:n])}
	l.mu.Lock()
	p.silent = l.isCut(p)
	l.open[p] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, p)
		l.mu.Unlock()
	}()
	if l.isSilent(p) {
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.Dial("tcp4", l.server)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	l.mu.Lock()
	p.to = to
	l.mu.Unlock()
	if _, err := to.Write(first[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go l.copy(p, to, from, done)
	go l.copy(p, from, to, done)
	<-done
	_ = from.Close()
	_ = to.Close()
	<-done
}

func (l *link) isSilent(p *passage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.silent
}

// copy passes bytes on while the passage is not silent. The bytes of a silent one are lost.
func (l *link) copy(p *passage, to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isSilent(p) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil && !l.isSilent(p) {
			return
		}
		if err != nil {
			// The other side learns nothing of the end behind a cut.
			time.Sleep(100 * time.Millisecond)
			if !l.isOpen(p) {
				return
			}
		}
	}
}

func (l *link) isOpen(p *passage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[p] && l.cutZone != ""
}
