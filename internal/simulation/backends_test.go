package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"stiletrail/internal/engine"
	"stiletrail/internal/query"
	"stiletrail/internal/standin"
)

// simBackEnd is a simulated back end: the model of its answers, its zone and its faults.
type simBackEnd struct {
	model   *standin.BackEnd
	service *simService
	zone    string
	dead    bool
	// hung says that the back end accepts connections and never answers.
	hung    bool
	leaving bool
	// isSlowFor says which requests the back end serves slowly, by their body. Nil means none.
	isSlowFor func(body []byte) bool
	drainedAt time.Duration
	attempts  map[*simAttempt]bool
}

func sortedNumbers[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(m))
}

// addService adds a ring of back ends over the zones: back end i holds shards i and i+1, so each shard has two replicas.
func (w *World) addService(service Service) {
	if service.KeysPerShard == 0 {
		service.KeysPerShard = 3
	}
	total := uint32(service.BackEnds)
	s := &simService{
		Service: service, index: standin.Index{Service: service.Name, Keys: service.KeysPerShard * service.BackEnds},
		totals: map[uint64]uint32{1: total}, version: 1, epoch: 1,
	}
	w.services[service.Name] = s
	for i := range total {
		address := fmt.Sprintf("10.%d.0.%d:7800", 100+len(w.services), i+1)
		random := rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64()))
		model := standin.NewBackEnd(s.index, address, service.Slots, service.Latency, total, ringShards(i, total), random)
		b := &simBackEnd{model: model, service: s, zone: w.options.Zones[int(i)%len(w.options.Zones)].Name, attempts: map[*simAttempt]bool{}}
		s.backEnds = append(s.backEnds, b)
		w.backEnds[address] = b
	}
}

func ringShards(number, total uint32) []uint32 {
	if total == 1 {
		return []uint32{0}
	}
	return []uint32{number % total, (number + 1) % total}
}

func (w *World) describe(n *simNode, service, address string) {
	b := w.backEnds[address]
	path := w.distance(n.zone.Name, b.zone)
	done := func(delay time.Duration, ok bool) {
		w.schedule(delay, func() {
			var holding query.Holding
			if ok {
				holding = b.model.Holding()
				n.describedAt[address] = w.now
			}
			w.step(n, func() engine.Output { return n.engine.DescribeDone(w.now, service, address, holding, ok) })
		})
	}
	switch {
	case b.dead && w.reachable(n.zone.Name, b.zone):
		done(2*path, false)
	case b.dead || b.hung || !w.reachable(n.zone.Name, b.zone):
		done(dialTimeout, false)
	default:
		done(2*w.jitter(path), true)
	}
}

// killBackEnd stops a back end without a drain. The requests in flight lose their connections.
func (w *World) killBackEnd(b *simBackEnd) {
	w.record("kill back end", b.model.Address)
	b.dead = true
	var broken []*simAttempt
	for a := range b.attempts {
		broken = append(broken, a)
	}
	slices.SortFunc(broken, func(x, y *simAttempt) int {
		return cmp.Or(cmp.Compare(x.node.address, y.node.address), cmp.Compare(x.Number, y.Number))
	})
	for _, a := range broken {
		w.release(a)
		w.schedule(w.distance(a.node.zone.Name, b.zone), func() { w.endAttempt(a, query.AttemptResult{Status: query.StatusLost}) })
	}
}

// reviveBackEnd restarts a back end. It starts cold, with its shards and the service's current index version.
func (w *World) reviveBackEnd(b *simBackEnd) {
	w.record("revive back end", b.model.Address)
	b.dead, b.hung, b.leaving = false, false, false
	b.model.State = query.StateCold
	b.model.ReportedState = query.StateUnknown
	b.drainedAt = 0
	b.model.Publish(b.service.version)
	w.publishMachines()
}

// drain makes a back end drain. Where lies is true, its description still reports that it is serving.
func (w *World) drain(b *simBackEnd, lies bool) {
	w.record("drain", b.model.Address, lies)
	b.model.State = query.StateDraining
	if lies {
		b.model.ReportedState = query.StateServing
	}
	b.leaving = true
	b.drainedAt = w.now
	w.publishMachines()
}

// publishVersion publishes a new index version to the back ends of a service, to each after a random delay of up to spread.
func (w *World) publishVersion(s *simService, spread time.Duration) {
	s.version++
	version := s.version
	for _, b := range s.backEnds {
		w.schedule(time.Duration(w.random.Int64N(int64(spread)+1)), func() { b.model.Publish(version) })
	}
}

// repartition starts a new epoch with another number of shards. Each back end changes over after a random delay of up to spread.
func (w *World) repartition(s *simService, total uint32, spread time.Duration) {
	s.epoch++
	epoch := s.epoch
	s.totals[epoch] = total
	w.record("repartition", s.Name, epoch, total)
	for i, b := range s.backEnds {
		var shards []uint32
		for shard := range total {
			first := int(shard) % len(s.backEnds)
			if first == i || (first+1)%len(s.backEnds) == i {
				shards = append(shards, shard)
			}
		}
		w.schedule(time.Duration(w.random.Int64N(int64(spread)+1)), func() {
			if s.epoch == epoch {
				b.model.Publish(s.version)
				b.model.Repartition(epoch, total, shards)
			}
		})
	}
}
