package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the end of one, as it is sent.
type item struct {
	Key      string `json:"TlsKey"`
	Value    []byte `json:"Value,omitempty"`
	Revision uint64 `json:"Revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// pageItems is the number of items in a page of a listing, and historyTime for how long a change is remembered.
const (
	pageItems   = 500
	historyTime = 20 * time.Second
)

// event is a change in the history of the store.
type event struct {
	item
	at time.Time
}

// store is the platform's metadata store: linearizable, with watches, transactions and leases.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	// forgotten is the revision up to which the history is forgotten.
	forgotten uint64
	changed   chan struct{}
	lastLease uint64
	leases    map[uint64]time.Time
	lifetimes map[uint64]time.Duration
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), items: map[string]item{}, changed: make(chan struct{}),
		leases: map[uint64]time.Time{}, lifetimes: map[uint64]time.Duration{},
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /kv-key", s.serveKey)
	routes.HandleFunc("GET /kv-range", s.serveRange)
	routes.HandleFunc("GET /kv-watch", s.serveWatch)
	routes.HandleFunc("POST /kv-txn", s.serveTransaction)
	routes.HandleFunc("POST /kv-lease", s.serveLease)
	routes.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	routes.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(listener, routes) }()
	return s, nil
}

// put writes a value as the operator or a back end does. The moment of its return is that of the acknowledgement.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]item{{Key: key, Value: encoded}})
}

// change applies changes under one revision. The caller holds the lock.
func (s *store) change(changes []item) {
	s.revision++
	for _, c := range changes {
		c.Revision = s.revision
		if c.Gone {
			delete(s.items, c.Key)
		} else {
			c.Made = s.items[c.Key].Made
			if c.Made == 0 {
				c.Made = s.revision
			}
			s.items[c.Key] = c
		}
		s.history = append(s.history, event{c, time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLeases removes the keys of the leases that are over. The caller holds the lock.
func (s *store) endLeases() {
	var gone []item
	for id, until := range s.leases {
		if time.Now().Before(until) {
			continue
		}
		delete(s.leases, id)
		for key, held := range s.items {
			if held.Lease == id {
				gone = append(gone, item{Key: key, Gone: true})
			}
		}
	}
	if len(gone) > 0 {
		s.change(gone)
	}
}

// forget drops the changes that are older than historyTime. The caller holds the lock.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.forgotten = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	found, known := s.items[r.URL.Query().Get("TlsKey")]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	page := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, found)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": page[:min(len(page), pageItems)], "more": more, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("PathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.endLeases()
		s.forget()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.item)
			}
		}
		at, changed, forgotten := s.revision, s.changed, s.forgotten
		s.mu.Unlock()
		if after < forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-until:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a transaction.
type transaction struct {
	Expected []item   `json:"ExpectedRevision"`
	Put      []item   `json:"put"`
	Remove   []string `json:"Remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	failed, now := false, []item{}
	for _, expected := range t.Expected {
		found := s.items[expected.Key]
		failed = failed || found.Revision != expected.Revision
		now = append(now, item{Key: expected.Key, Value: found.Value, Revision: found.Revision})
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	var changes []item
	for _, put := range t.Put {
		if _, known := s.leases[put.Lease]; put.Lease != 0 && !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		changes = append(changes, item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range t.Remove {
		if _, known := s.items[key]; known {
			changes = append(changes, item{Key: key, Gone: true})
		}
	}
	for _, c := range changes {
		if strings.HasPrefix(c.Key, "op/") || strings.HasPrefix(c.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if len(changes) > 0 {
		s.change(changes)
	}
	answer(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Milliseconds int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	lifetime := time.Duration(min(max(body.Milliseconds, 1000), 600000)) * time.Millisecond
	s.leases[s.lastLease], s.lifetimes[s.lastLease] = time.Now().Add(lifetime), lifetime
	answer(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": lifetime.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	if _, known := s.leases[id]; !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.lifetimes[id])
	answer(w, http.StatusOK, map[string]any{"ttl_ms": s.lifetimes[id].Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.leases[id]; known {
		s.leases[id] = time.Time{}
		s.endLeases()
	}
	w.WriteHeader(http.StatusOK)
}
