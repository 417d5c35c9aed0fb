//go:build prove

// Package mutation takes out one guard at a time in a copy of the source and checks that its proof fails. Run it with make
// prove; docs/PROOF.md quotes what the proofs said.
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

// mutation replaces a piece of source, which must stand there exactly once.
type mutation struct {
	name string
	file string
	old  string
	new  string
	// pkg and test must fail with the mutation.
	pkg  string
	test string
}

var mutations = []mutation{
	{
		"no check of the snapshot of an answer", "internal/dispatch/outcome.go",
		"if !a.subQuery.request.Execute && result.Snapshot != a.subQuery.request.Snapshot {", "if false {",
		"./internal/dispatch", "TestMismatchedAnswersAreRejected",
	},
	{
		"results of an earlier plan are kept when the query is planned again", "internal/scatter/scatter.go",
		"	clear(q.results)\n	q.shards = make([]shard, plan.Total)\n", "	if uint32(len(q.shards)) != plan.Total {\n		q.shards = make([]shard, plan.Total)\n	}\n",
		"./internal/simulation", "TestOneSnapshot",
	},
	{
		"the number of shards is counted from those that are held", "internal/scatter/routing.go",
		"			total = max(total, h.ShardsTotal)\n", "			total = max(total, uint32(len(h.Shards)))\n",
		"./internal/simulation", "TestCoverageIsTrue",
	},
	{
		"a second answer to a shard is passed on", "internal/dispatch/outcome.go",
		"		if state.answered {\n			continue\n		}\n		state.answered = true\n", "		state.answered = true\n",
		"./internal/dispatch", "TestSecondAnswerIsDropped",
	},
	{
		"no replay window", "internal/dispatch/replay.go",
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
		"a leaving node gives up its groups at once", "internal/engine/groups.go",
		"	if e.leaving {\n		return\n	}\n	e.performDispatch(e.dispatcher.SetGroups", "	e.performDispatch(e.dispatcher.SetGroups",
		"./internal/engine", "TestLeavingNodeServesOn",
	},
	{
		"a leaving node stops at once", "internal/engine/leave.go",
		"return e.leaving && busy == 0 && e.dispatcher.Idle() && now-e.leftAt >= e.settings.LeaveGrace", "return e.leaving && busy >= 0 && now >= 0",
		"./internal/simulation", "TestPlannedStops",
	},
	{
		"a document replaces a newer one", "internal/catalog/catalog.go",
		"if found && known.document.Version >= document.Version {", "if found && known.document.Version == document.Version {",
		"./internal/simulation", "TestStoreRestoredFromOldCopy",
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
		"a swap that lost is not read back", "internal/rollout/rollout.go",
		"	if outcome == Done {\n		r.phase = reading\n		return Read{}\n	}\n", "	if outcome == Done {\n		return r.conflict(r.change.BaseVersion + 1)\n	}\n",
		"./internal/rollout", "TestOutcomes",
	},
	{
		"accepted is said before any peer holds the document", "internal/engine/confirm.go",
		"rollout.SentToPeers(len(peers))", "rollout.SentToPeers(0)",
		"./internal/engine", "TestAcceptanceWaitsForCopies",
	},
	{
		"relays trust their watch", "internal/engine/store.go",
		"		if e.store.stamps[service] != entry.Stamp {", "		if e.store.stamps[service].Version == 0 {",
		"./internal/engine", "TestListedChangesAreRead",
	},
	{
		"zones that meet again do not refute", "internal/membership/update.go",
		"	c.self.Incarnation = update.Incarnation + 1\n	c.enqueue(c.self.Address)\n}", "}",
		"./internal/membership", "TestMemberRefutesUpdatesAboutItself",
	},
	{
		"a fresh node serves before it knows the members", "internal/membership/probe.go",
		"	return c.joined || alone || now-c.startedAt > joinTimeout", "	return c.joined || alone || now >= 0",
		"./internal/membership", "TestJoinedAfterComparingViews",
	},
	{
		"hedges go into full windows", "internal/dispatch/backend.go",
		"	return b.window.HasCapacity() && len(b.queue) == 0 && now >= b.notBefore", "	return now >= b.notBefore",
		"./internal/dispatch", "TestNoHedgesIntoFullWindows",
	},
	{
		"a fresh node serves at once", "internal/gossip/compare.go",
		"	c.ready = len(c.equalPeers) >= c.requiredPeers()\n", "	c.ready = true\n",
		"./internal/gossip", "TestFreshNodeNeedsSeveralPeers",
	},
	{
		"a node that was frozen goes on with what it knew", "internal/engine/call.go",
		"	if frozen {\n		e.resume()\n	}\n", "	_ = frozen\n",
		"./internal/engine", "TestFrozenNodeRefusesUntilItHasRejoined",
	},
	{
		"checksums of answers are not compared", "internal/backend/answer.go",
		"if checksum != response.GetChecksum() || count != response.GetDocumentCount() {", "if checksum == 0 && count == 1 {",
		"./internal/backend", "TestAnswers",
	},
	{
		"echoes are not compared", "internal/backend/answer.go",
		"if response.GetGeneration() != attempt.Generation || response.GetAttempt() != attempt.Number {", "if false {",
		"./internal/backend", "TestAnswers",
	},
	{
		"requests to back ends may be resent silently", "internal/backend/backend.go",
		"response, err := c.clientFor(attempt.BackEnd).Query(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(request))",
		"outgoing := connect.NewRequest(request)\n	outgoing.Header().Set(\"Idempotency-Key\", \"1\")\n	response, err := c.clientFor(attempt.BackEnd).Query(httptrace.WithClientTrace(ctx, trace), outgoing)",
		"./internal/backend", "TestNoSilentResend",
	},
}

// TestGuardsAreProved fails for a mutation whose proof still passes.
func TestGuardsAreProved(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range allMutations() {
		t.Run(strings.ReplaceAll(m.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			prove(t, root, m)
		})
	}
}

// TestGuardsAreFound: the text of each guard stands exactly once in its file. A guard that is not found proves nothing.
func TestGuardsAreFound(t *testing.T) {
	for _, m := range allMutations() {
		source, err := os.ReadFile(filepath.Join("../..", m.file))
		if err != nil {
			t.Errorf("%s: %v", m.name, err)
			continue
		}
		if count := strings.Count(string(source), m.old); count != 1 {
			t.Errorf("%s: the guard stands %d times in %s", m.name, count, m.file)
		}
	}
}

func allMutations() []mutation {
	return slices.Concat(mutations, gatewayMutations, quarantineMutations, eraMutations)
}

// copySource copies what a proof is built from: neither the repository's history nor the records of measured runs.
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

// said matches the first complaint of a failing test.
var said = regexp.MustCompile(`(?m)^\s+\w+_test\.go:\d+: (.*)$|^(panic: .*)$`)

func prove(t *testing.T, root string, m mutation) {
	t.Helper()
	copied := t.TempDir()
	copySource(t, root, copied)
	path := filepath.Join(copied, m.file)
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if count := strings.Count(string(source), m.old); count != 1 {
		t.Fatalf("the guard stands %d times in %s", count, m.file)
	}
	mutated := strings.Replace(string(source), m.old, m.new, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command("go", "test", "-count=1", "-timeout=120s", "-vet=off", "-run", "^"+m.test+"$", m.pkg)
	command.Dir = copied
	output, err := command.CombinedOutput()
	if err == nil {
		t.Errorf("%s passes without its guard", m.test)
		return
	}
	if strings.Contains(string(output), "[build failed]") || strings.Contains(string(output), "no tests to run") {
		t.Fatalf("the mutation does not build: %s", output)
	}
	complaints := said.FindStringSubmatch(string(output))
	if complaints == nil {
		t.Fatalf("no complaint in: %s", output)
	}
	t.Logf("%s said: %s", m.test, strings.TrimSpace(complaints[1]+complaints[2]))
}
