//go:build prove

package mutation

// quarantineMutations take out guards against requests that end back ends, and against clocks that stand still.
var quarantineMutations = []mutation{
	{
		"the end of a back end is not told from the end of a connection", "platform/backend.go",
		"outcome.Kind == forward.Lost && closedByBackEnd(result.Err) && ctx.Err() == nil", "false",
		"./platform", "TestQuarantine",
	},
	{
		"a connection that was reset is taken for the end of a back end", "platform/backend.go",
		"outcome.BackEndCrashed = b.pool.BackEndCrashed(ctx, send.Entry.Address, crashProbeTimeout, outcome.ConnectionRejected)", "outcome.BackEndCrashed = true",
		"./platform", "TestBackEndCrashIsLogged",
	},
	{
		"runs at the same time count one by one", "internal/quarantine/record.go",
		"(length == 0 || crash.StartedAt >= last)", "(last >= 0)",
		"./internal/quarantine", "TestRounds",
	},
	{
		"an answer does not acquit", "internal/quarantine/outcome.go",
		"	r.quarantinedUntil, r.stored = 0, false\n	if len", "	if len",
		"./internal/quarantine", "TestAnswerEndsSuspicion",
	},
	{
		"what others tell of a quarantine that an answer has ended counts", "internal/quarantine/evidence.go",
		"until > r.quarantinedUntil+timeTolerance && !answeredSince", "until > r.quarantinedUntil+timeTolerance && (!answeredSince || until > 0)",
		"./internal/quarantine", "TestEvidenceReachesSameVerdict",
	},
	{
		"back ends that end by themselves raise no doubt", "internal/quarantine/verdict.go",
		"return min(others/unrelatedCrashesPerRound, maximumExtraRounds)", "return 0",
		"./internal/quarantine", "TestUnrelatedCrashesRequireMoreRounds",
	},
	{
		"a caller is put under quarantine", "internal/quarantine/verdict.go",
		"c.settings.Rounds == 0 || r.aggregate ||", "c.settings.Rounds == 0 ||",
		"./internal/quarantine", "TestCallerIsNeverQuarantined",
	},
	{
		"what is remembered of requests has no bound", "internal/quarantine/quarantine.go",
		"if len(c.records) >= maximumRecords {", "if false {",
		"./internal/quarantine", "TestMemoryIsBounded",
	},
	{
		"a question is known by its caller's address alone", "internal/quarantine/mark.go",
		"Request:       FingerprintOf([]byte(requestKind), resource, parameters)", "Request:       FingerprintOf([]byte(requestKind), []byte(caller), resource, parameters)",
		"./internal/gateway", "TestCrashingRequestVariants",
	},
	{
		"attempts go on after two back ends have ended", "internal/forward/caution.go",
		"if quarantine.CancelOthers(r.trials.suspected, r.trials.crashes) {", "if r.trials.suspected {",
		"./internal/forward", "TestTwoCrashesCancelOthers",
	},
	{
		"a request under quarantine goes on at other back ends", "internal/forward/caution.go",
		"	if verdict == quarantine.Quarantined {\n", "	if verdict == quarantine.Quarantined && now < 0 {\n",
		"./internal/gateway", "TestCrashingRequestVariants",
	},
	{
		"a suspected request goes to all shards at once", "internal/forward/forward.go",
		"r.trials.suspected = node.Verdict() != quarantine.Clear; r.trials.suspected", "r.trials.suspected = node.Verdict() != quarantine.Clear; false",
		"./internal/forward", "TestSuspectedRequestIsTriedSerially",
	},
	{
		"a retrial reaches several back ends", "internal/forward/caution.go",
		"return r.trials.retrial && outcome.Kind != NotSent", "return false",
		"./internal/forward", "TestRetrialReachesOneBackEnd",
	},
	{
		"nodes do not tell each other of requests that end back ends", "internal/gateway/quarantine_evidence.go",
		"if g.fleet.members == nil || len(fingerprints) == 0 || !g.evidence.allowMessage(now) {", "if true {",
		"./internal/gateway", "TestAllNodesLearnOfCrashingRequest",
	},
	{
		"a quarantine is not kept in the store", "internal/gateway/gateway.go",
		"	go g.writeQuarantines(ctx)\n", "",
		"./platform", "TestQuarantine",
	},
	{
		"a new version is tried by every node", "internal/gateway/quarantine_writes.go",
		"	return claimed\n", "	return true\n",
		"./internal/gateway", "TestNewVersionIsTriedOnce",
	},
	{
		"a clock stands still while the machine is suspended", "internal/clock/clock.go",
		"return time.Since(c.started) + c.Suspended()", "return time.Since(c.started)",
		"./internal/gateway", "TestSuspendedNodeRefreshesCopy",
	},
	{
		"nobody is woken after a suspension", "internal/gateway/suspensions.go",
		"		close(s.noticed)\n", "",
		"./internal/gateway", "TestSuspendedNodeAnswersRequest",
	},
	{
		"what was learned while a node stood still holds for good", "internal/replica/latency.go",
		"unused >= latencyHalfLife && value > unknownLatency", "false && unused >= latencyHalfLife",
		"./internal/gateway", "TestServesAgainAfterAPause",
	},
}
