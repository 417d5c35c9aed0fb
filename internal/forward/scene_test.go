package forward_test

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
)

const millisecond = time.Millisecond

// fakeNode has replicas by service, in the order in which they are picked.
type fakeNode struct {
	replicas map[string][]*replica.Replica
	full     map[string]bool
	budget   int
	// recovers has the moment at which the replicas of a service are no longer ejected.
	recovers map[string]time.Duration
	// samples has what requests have told.
	samples []admit.Sample
	// few: the budget allows hardly any more extra attempts.
	few bool
	// verdict on the request, leftOut are the services that it is kept from, ends the back ends that ended under it.
	verdict quarantine.Verdict
	leftOut map[string]bool
	ends    []string
}

func newNode(budget int, services ...string) *fakeNode {
	w := &fakeNode{replicas: map[string][]*replica.Replica{}, full: map[string]bool{}, budget: budget}
	for _, service := range services {
		for _, suffix := range []string{"-1", "-2", "-3"} {
			w.replicas[service] = append(w.replicas[service], &replica.Replica{Entry: replica.Entry{ID: service + suffix, Service: service}})
		}
	}
	return w
}

// Pick implements forward.Node.
func (w *fakeNode) Pick(service string, choice replica.PickOptions) (*replica.Replica, bool) {
	if w.full[service] {
		return nil, true
	}
	for _, candidate := range w.replicas[service] {
		if !slices.Contains(choice.Excluded, candidate) && (len(choice.Only) == 0 || slices.Contains(choice.Only, candidate)) {
			return candidate, false
		}
	}
	return nil, false
}

// EarliestRecovery implements forward.Node.
func (w *fakeNode) EarliestRecovery(service string, _ replica.PickOptions) (time.Duration, bool) {
	return w.recovers[service], len(w.replicas[service]) > 0
}

func (w *fakeNode) spend() bool {
	w.budget--
	return w.budget >= 0
}

// ExtraAttemptsLeft implements forward.Node.
func (w *fakeNode) ExtraAttemptsLeft(string) float64 {
	if w.few {
		return 1
	}
	return 100
}

// SpendHedge implements forward.Node.
func (w *fakeNode) SpendHedge(string) bool { return w.spend() }

// SpendRetry implements forward.Node.
func (w *fakeNode) SpendRetry(string) bool { return w.spend() }

// RecordCrash implements forward.Node.
func (w *fakeNode) RecordCrash(attempt *forward.Attempt) quarantine.Verdict {
	w.ends = append(w.ends, attempt.Replica.ID)
	return w.verdict
}

// Verdict implements forward.Node.
func (w *fakeNode) Verdict() quarantine.Verdict { return w.verdict }

// RecordAnswer implements forward.Node.
func (w *fakeNode) RecordAnswer(*forward.Attempt) { w.verdict = quarantine.Clear }

// ShardExcluded implements forward.Node.
func (w *fakeNode) ShardExcluded(service string) bool { return w.leftOut[service] }

// RecordSample implements forward.Node.
func (w *fakeNode) RecordSample(sample admit.Sample) { w.samples = append(w.samples, sample) }

// scene is a request with what it has done so far.
type scene struct {
	t       *testing.T
	request *forward.Request
	sent    []*forward.Attempt
	cancels []*forward.Attempt
	answer  *forward.Answer
	now     time.Duration
}

var settings = forward.Settings{HedgeShare: 0.25, SiblingHedges: true, LastExtras: 2, EarlyFinish: true, AnswerMargin: 10 * millisecond, SerialTrials: true, RetryAfter: 600 * millisecond}

func fanOut(shards ...string) *routing.Route {
	return &routing.Route{
		Name: "all", Repeatable: true, Timeout: time.Second, TargetLatency: 200 * millisecond, MaximumAttempts: 2,
		Shards: shards, MinimumCoverage: 0.5, MaximumRecords: 3,
	}
}

func single(repeatable bool) *routing.Route {
	return &routing.Route{
		Name: "one", Repeatable: repeatable, Timeout: time.Second, TargetLatency: 200 * millisecond, MaximumAttempts: 2,
		Targets: []routing.Target{{Service: "a", Weight: 1}},
	}
}

func start(t *testing.T, route *routing.Route, node forward.Node) *scene {
	s := &scene{t: t}
	request, actions := forward.Start(0, forward.Parameters{Route: route, Service: "a"}, settings, node)
	s.request = request
	s.take(actions)
	return s
}

func (s *scene) take(actions []forward.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case forward.StartAttempt:
			s.sent = append(s.sent, action.Attempt)
		case forward.CancelAttempt:
			s.cancels = append(s.cancels, action.Attempt)
		case forward.Finish:
			if s.answer != nil {
				s.t.Fatal("answered twice")
			}
			s.answer = &action.Answer
		}
	}
}

func (s *scene) at(now time.Duration) *scene {
	s.now = now
	s.take(s.request.Tick(now))
	return s
}

func (s *scene) end(attempt int, outcome forward.Outcome) *scene {
	s.take(s.request.HandleOutcome(s.now, s.sent[attempt], outcome))
	return s
}

func (s *scene) sends() []string {
	var ids []string
	for _, attempt := range s.sent {
		ids = append(ids, attempt.Replica.ID)
	}
	return ids
}

func part(signature, body string) forward.Outcome {
	return forward.Outcome{Kind: forward.Answered, Response: &forward.Response{Status: 200, Signature: signature, Body: []byte(body)}}
}

func ended(kind forward.OutcomeKind) forward.Outcome { return forward.Outcome{Kind: kind} }
