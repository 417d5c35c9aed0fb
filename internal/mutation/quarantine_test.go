//go:build prove

package mutation

// quarantineMutations remove guards against requests that crash back ends, and against clocks that stop while the machine is
// suspended.
var quarantineMutations = []mutation{
	{
		"a crash of a back end is not distinguished from a closed connection", "platform/backend.go",
		"outcome.Kind == forward.Lost && closedByBackEnd(result.Err) && ctx.Err() == nil", "false",
		"./platform", "TestQuarantine",
	},
	{
		"a connection reset counts as a crash of the back end", "platform/backend.go",
		"outcome.BackEndCrashed = b.pool.BackEndCrashed(ctx, send.Entry.Address, crashProbeTimeout, outcome.ConnectionRejected)", "outcome.BackEndCrashed = true",
		"./platform", "TestBackEndCrashIsLogged",
	},
	{
		"crashes of concurrent attempts count as separate rounds", "internal/quarantine/record.go",
		"(length == 0 || crash.StartedAt >= last)", "(last >= 0)",
		"./internal/quarantine", "TestRounds",
	},
	{
		"a peer decides whether a known request can be put under quarantine", "internal/quarantine/evidence.go",
		"		r.aggregate = sent.Aggregate\n	}\n", "	}\n	r.aggregate = sent.Aggregate\n",
		"./internal/quarantine", "TestPeerDoesNotExemptRequest",
	},
	{
		"evidence of a peer counts from its arrival", "internal/gateway/dated_evidence.go",
		"g.applyEvidence(received, sentAt, m)", "g.applyEvidence(received, max(sentAt, received), m)",
		"./internal/gateway", "TestLateAnswerDoesNotEndQuarantine",
	},
	{
		"evidence waits for the clock of a peer for good", "internal/gateway/dated_evidence.go",
		"} else if now-h.receivedAt >= evidenceHold {", "} else if false {",
		"./internal/gateway", "TestEvidenceOfSilentClock",
	},
	{
		"shards are excluded while quarantines are off", "internal/quarantine/verdict.go",
		"	if c.settings.Rounds == 0 {\n		return\n	}\n", "",
		"./internal/quarantine", "TestNoShardIsExcludedWhileDisabled",
	},
	{
		"an answer does not end a suspicion", "internal/quarantine/outcome.go",
		"	r.quarantinedUntil, r.stored = 0, false\n	if len", "	if len",
		"./internal/quarantine", "TestAnswerEndsSuspicion",
	},
	{
		"peers' evidence counts although an answer has ended the quarantine", "internal/quarantine/evidence.go",
		"until > r.quarantinedUntil+timeTolerance && !answeredSince", "until > r.quarantinedUntil+timeTolerance && (!answeredSince || until > 0)",
		"./internal/quarantine", "TestEvidenceReachesSameVerdict",
	},
	{
		"unrelated crashes do not raise the number of rounds that a quarantine requires", "internal/quarantine/verdict.go",
		"return min(others/unrelatedCrashesPerRound, maximumExtraRounds)", "return 0",
		"./internal/quarantine", "TestUnrelatedCrashesRequireMoreRounds",
	},
	{
		"a caller is quarantined as a whole", "internal/quarantine/verdict.go",
		"c.settings.Rounds == 0 || r.aggregate ||", "c.settings.Rounds == 0 ||",
		"./internal/quarantine", "TestCallerIsNeverQuarantined",
	},
	{
		"the number of remembered requests is not limited", "internal/quarantine/quarantine.go",
		"if len(c.records) >= maximumRecords {", "if false {",
		"./internal/quarantine", "TestMemoryIsBounded",
	},
	{
		"a request is identified by its caller's address alone", "internal/quarantine/fingerprint.go",
		"Request:       FingerprintOf([]byte(requestKind), resource, parameters)", "Request:       FingerprintOf([]byte(requestKind), []byte(caller), resource, parameters)",
		"./internal/gateway", "TestCrashingRequestVariants",
	},
	{
		"attempts continue after two back ends have crashed", "internal/forward/trials.go",
		"if quarantine.CancelOthers(r.trials.suspected, r.trials.crashes) {", "if r.trials.suspected {",
		"./internal/forward", "TestTwoCrashesCancelOthers",
	},
	{
		"a quarantined request is tried on other back ends", "internal/forward/trials.go",
		"	if verdict == quarantine.Quarantined {\n", "	if verdict == quarantine.Quarantined && now < 0 {\n",
		"./internal/gateway", "TestCrashingRequestVariants",
	},
	{
		"a suspect request is sent to all shards at once", "internal/forward/forward.go",
		"r.trials.suspected = node.Verdict() != quarantine.Clear; r.trials.suspected", "r.trials.suspected = node.Verdict() != quarantine.Clear; false",
		"./internal/forward", "TestSuspectedRequestIsTriedSerially",
	},
	{
		"a quarantine retrial reaches several back ends", "internal/forward/trials.go",
		"return r.trials.retrial && outcome.Kind != NotSent", "return false",
		"./internal/forward", "TestRetrialReachesOneBackEnd",
	},
	{
		"nodes do not share evidence of requests that crash back ends", "internal/gateway/quarantine_evidence.go",
		"if g.fleet.members == nil || len(fingerprints) == 0 || !g.evidence.allowMessage(now) {", "if true {",
		"./internal/gateway", "TestAllNodesLearnOfCrashingRequest",
	},
	{
		"quarantines are not written to the store", "internal/gateway/gateway.go",
		"	go g.writeQuarantines(ctx)\n", "",
		"./platform", "TestQuarantine",
	},
	{
		"a new version is tried by every node", "internal/gateway/quarantine_writes.go",
		"	return claimed\n", "	return true\n",
		"./internal/gateway", "TestNewVersionIsTriedOnce",
	},
	{
		"the clock does not advance while the machine is suspended", "internal/clock/clock.go",
		"return time.Since(c.started) + c.Suspended()", "return time.Since(c.started)",
		"./internal/gateway", "TestSuspendedNodeRefreshesCopy",
	},
	{
		"requests are not notified of a suspension of the machine", "internal/gateway/suspensions.go",
		"		close(s.noticed)\n", "",
		"./internal/gateway", "TestSuspendedNodeAnswersRequest",
	},
	{
		"high latencies of unused back ends do not expire", "internal/replica/latency.go",
		"unused >= latencyHalfLife && value > unknownLatency", "false && unused >= latencyHalfLife",
		"./internal/gateway", "TestServesAgainAfterAPause",
	},
}
