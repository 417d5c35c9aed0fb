//go:build prove

// Package mutation tests the tests. It removes one guard (a check or a rule) at a time in a copy of the source and verifies that
// the test which covers the guard then fails. "make prove" runs it. docs/PROOF.md quotes the failure messages.
package mutation

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// mutation replaces a text of a source file, which must occur there exactly once. name says what is wrong with the mutated code.
type mutation struct {
	name        string
	file        string
	original    string
	replacement string
	// The test of this name in this package must fail with the mutation.
	pkg  string
	test string
}

var mutations = []mutation{
	{
		"the snapshot of an answer is not checked", "internal/dispatch/outcome.go",
		"if !a.subQuery.request.Execute && result.Snapshot != a.subQuery.request.Snapshot {", "if false {",
		"./internal/dispatch", "TestMismatchedAnswersAreRejected",
	},
	{
		"results of an earlier plan are kept when a query is planned again", "internal/scatter/scatter.go",
		"	clear(q.results)\n	q.shards = make([]shard, plan.Total)\n", "	if uint32(len(q.shards)) != plan.Total {\n		q.shards = make([]shard, plan.Total)\n	}\n",
		"./internal/simulation", "TestOneSnapshot",
	},
	{
		"the number of shards is taken from the shards that back ends hold", "internal/scatter/routing.go",
		"			total = max(total, h.ShardsTotal)\n", "			total = max(total, uint32(len(h.Shards)))\n",
		"./internal/simulation", "TestCoverageIsTrue",
	},
	{
		"a second answer of a shard is passed on", "internal/dispatch/outcome.go",
		"		if state.answered {\n			continue\n		}\n		state.answered = true\n", "		state.answered = true\n",
		"./internal/dispatch", "TestSecondAnswerIsDropped",
	},
	{
		"repeated attempts are accepted", "internal/dispatch/replay.go",
		"	return !window.accept(id.Sequence)\n", "	window.accept(id.Sequence)\n	return false\n",
		"./internal/simulation", "TestAtMostOnce",
	},
	{
		"a lost attempt counts as not run", "internal/query/attempt.go",
		"return s >= StatusShed && s <= StatusNotSent", "return s >= StatusShed && s <= StatusLost",
		"./internal/dispatch", "TestAttemptOutcomes",
	},
	{
		"tickets may be used again", "internal/ticket/ticket.go",
		"	if known := t.entries[parsed.Sequence]; known != nil {\n		return t.reuse", "	if known := t.entries[parsed.Sequence]; known != nil && known.usedAt < 0 {\n		return t.reuse",
		"./internal/simulation", "TestAtMostOnce",
	},
	{
		"a refusal of a ticket is not final", "internal/ticket/ticket.go",
		"		known.outcome = &outcome\n", "		known.outcome = &outcome\n		if outcome.Failure != nil && outcome.Failure.NotRun {\n			delete(t.entries, sequence)\n		}\n",
		"./internal/ticket", "TestRefusalIsFinal",
	},
	{
		"refusals of work do not count as a drain", "internal/dispatch/health.go",
		"		b.draining |= drainByAttempt\n", "",
		"./internal/dispatch", "TestDrainSignals",
	},
	{
		"a leaving node gives up its groups immediately", "internal/engine/groups.go",
		"	if e.leaving {\n		return\n	}\n	e.performDispatch(e.dispatcher.SetGroups", "	e.performDispatch(e.dispatcher.SetGroups",
		"./internal/engine", "TestLeavingNodeServesOn",
	},
	{
		"a leaving node stops with requests in flight", "internal/engine/leave.go",
		"return e.leaving && busy == 0 && e.dispatcher.Idle() && now-e.leftAt >= e.settings.LeaveGrace", "return e.leaving && busy >= 0 && now >= 0",
		"./internal/simulation", "TestPlannedStops",
	},
	{
		"a document replaces a newer one", "internal/catalog/catalog.go",
		"if found && known.document.Version >= document.Version {", "if found && known.document.Version == document.Version {",
		"./internal/simulation", "TestStoreRestoredFromOldBackup",
	},
	{
		"the base of a plan is not checked", "internal/rollout/rollout.go",
		"	if current.Version != r.change.BaseVersion {\n		return r.conflict(current.Version)\n	}\n", "",
		"./internal/simulation", "TestOperatorsRace",
	},
	{
		"a write without an answer counts as refused", "internal/rollout/rollout.go",
		"	if !r.writeSent {\n", "	if r.writeSent || !r.writeSent {\n",
		"./internal/rollout", "TestOutcomes",
	},
	{
		"the entry is not read after a lost compare-and-swap", "internal/rollout/rollout.go",
		"	if outcome == Done {\n		r.phase = reading\n		return Read{}\n	}\n", "	if outcome == Done {\n		return r.conflict(r.change.BaseVersion + 1)\n	}\n",
		"./internal/rollout", "TestOutcomes",
	},
	{
		"a change is accepted before any peer has the document", "internal/engine/confirm.go",
		"rollout.SentToPeers(len(peers))", "rollout.SentToPeers(0)",
		"./internal/engine", "TestAcceptanceWaitsForCopies",
	},
	{
		"relays do not compare their copy with listings", "internal/engine/store.go",
		"		if e.store.stamps[service] != entry.Stamp {", "		if e.store.stamps[service].Version == 0 {",
		"./internal/engine", "TestListedChangesAreRead",
	},
	{
		"a node does not refute its reported death after a partition", "internal/membership/update.go",
		"	c.self.Incarnation = update.Incarnation + 1\n	c.enqueue(c.self.Address)\n}", "}",
		"./internal/membership", "TestMemberRefutesUpdatesAboutItself",
	},
	{
		"a new node serves before it knows the members", "internal/membership/probe.go",
		"	return c.joined || alone || now-c.startedAt > joinTimeout", "	return c.joined || alone || now >= 0",
		"./internal/membership", "TestJoinedAfterComparingViews",
	},
	{
		"hedges are sent to back ends with full concurrency windows", "internal/dispatch/backend.go",
		"	return b.window.HasCapacity() && len(b.queue) == 0 && now >= b.notBefore", "	return now >= b.notBefore",
		"./internal/dispatch", "TestNoHedgesIntoFullWindows",
	},
	{
		"what a peer says of its catalog counts from its arrival", "internal/gossip/compare.go",
		"	return asked.Duration(), m.Reply && own\n", "	return max(now, asked.Duration()), m.Reply && own\n",
		"./internal/gossip", "TestLateAnswerConfirmsAsOfQuestion",
	},
	{
		"a new node serves before peers have confirmed its configuration", "internal/gossip/compare.go",
		"	c.ready = len(c.equalPeers) >= c.requiredPeers()\n", "	c.ready = true\n",
		"./internal/gossip", "TestFreshNodeNeedsSeveralPeers",
	},
	{
		"a resumed node continues with outdated state", "internal/engine/call.go",
		"	if frozen {\n		e.resume()\n	}\n", "	_ = frozen\n",
		"./internal/engine", "TestFrozenNodeRefusesUntilItHasRejoined",
	},
	{
		"checksums of answers are not compared", "internal/backend/answer.go",
		"if checksum != response.GetChecksum() || count != response.GetDocumentCount() {", "if checksum == 0 && count == 1 {",
		"./internal/backend", "TestAnswers",
	},
	{
		"the generation and attempt number in an answer are not compared", "internal/backend/answer.go",
		"if response.GetGeneration() != attempt.Generation || response.GetAttempt() != attempt.Number {", "if false {",
		"./internal/backend", "TestAnswers",
	},
	{
		"the HTTP client may resend requests to back ends", "internal/backend/backend.go",
		"response, err := c.clientFor(attempt.BackEnd).Query(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(request))",
		"outgoing := connect.NewRequest(request)\n	outgoing.Header().Set(\"Idempotency-Key\", \"1\")\n	response, err := c.clientFor(attempt.BackEnd).Query(httptrace.WithClientTrace(ctx, trace), outgoing)",
		"./internal/backend", "TestNoSilentResend",
	},
}

// TestGuardsAreProved checks that each mutation makes its test fail. A test that still passes does not cover the guard.
func TestGuardsAreProved(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range allMutations() {
		t.Run(strings.ReplaceAll(m.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testWithoutGuard(t, root, m)
		})
	}
}

// TestGuardsAreFound checks that the original text of each mutation occurs exactly once in its file. A change of the source that
// loses the text would otherwise disable the mutation.
func TestGuardsAreFound(t *testing.T) {
	for _, m := range allMutations() {
		source, err := os.ReadFile(filepath.Join("../..", m.file))
		if err != nil {
			t.Errorf("%s: %v", m.name, err)
			continue
		}
		if count := strings.Count(string(source), m.original); count != 1 {
			t.Errorf("%s: the source text of the guard occurs %d times in %s, want once", m.name, count, m.file)
		}
	}
}

func allMutations() []mutation {
	return slices.Concat(mutations, gatewayMutations, quarantineMutations, eraMutations, tenantMutations, quotaMutations, sharedHealthMutations, priorityMutations)
}

// copySource copies the repository without its history (.git) and without the records of measured runs (journal), which no test
// needs.
func copySource(t *testing.T, root, to string) {
	t.Helper()
	entries, err := os.ReadDir(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		name := entry.Name()
		if name == ".git" || name == "journal" {
			continue
		}
		if entry.IsDir() {
			err = os.CopyFS(filepath.Join(to, name), os.DirFS(filepath.Join(root, name)))
		} else {
			err = copyFile(filepath.Join(root, name), filepath.Join(to, name))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func copyFile(from, to string) error {
	content, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, content, 0o600)
}

// failureMessage matches the first failure message or the panic in the output of a failing test.
var failureMessage = regexp.MustCompile(`(?m)^\s+\w+_test\.go:\d+: (.*)$|^(panic: .*)$`)

func testWithoutGuard(t *testing.T, root string, m mutation) {
	t.Helper()
	copied := t.TempDir()
	copySource(t, root, copied)
	path := filepath.Join(copied, m.file)
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if count := strings.Count(string(source), m.original); count != 1 {
		t.Fatalf("the source text of the guard occurs %d times in %s, want once", count, m.file)
	}
	mutated := strings.Replace(string(source), m.original, m.replacement, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command("go", "test", "-count=1", "-timeout=120s", "-vet=off", "-run", "^"+m.test+"$", m.pkg)
	command.Dir = copied
	output, err := command.CombinedOutput()
	if err == nil {
		t.Errorf("%s passes without the guard that it covers, want a failure", m.test)
		return
	}
	if strings.Contains(string(output), "[build failed]") || strings.Contains(string(output), "no tests to run") {
		t.Fatalf("the mutated source does not build or the test does not exist: %s", output)
	}
	message := failureMessage.FindStringSubmatch(string(output))
	if message == nil {
		t.Fatalf("no failure message found in the output of the failing test: %s", output)
	}
	t.Logf("%s failed as expected: %s", m.test, strings.TrimSpace(message[1]+message[2]))
}
