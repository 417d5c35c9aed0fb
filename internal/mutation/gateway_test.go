//go:build prove

package mutation

// gatewayMutations remove guards of the gateway, the node that sends requests to back ends itself.
var gatewayMutations = []mutation{
	{
		"a lost attempt of the gateway counts as not run", "internal/forward/outcome.go",
		"return k == Refused || k == Misdirected ||", "return k == Lost || k == Refused || k == Misdirected ||",
		"./internal/gateway", "TestRandomFaults",
	},
	{
		"the head of an answer is read without a limit", "internal/exchange/connection.go",
		"	c.arriving.limit(MaximumHead)\n", "	c.arriving.removeLimit()\n",
		"./internal/exchange", "TestAnswerHeadTooLarge",
	},
	{
		"memory is taken for a body before it arrives", "internal/membudget/read.go",
		"first := min(firstBuffer, largest)", "first := largest",
		"./internal/exchange", "TestMemoryOfAnnouncedBody",
	},
	{
		"the bodies of all requests together may take any memory", "internal/membudget/membudget.go",
		"if b.used.Add(bytes) <= limit {", "if b.used.Add(bytes); limit > 0 {",
		"./platform", "TestAnswerBeyondMemory",
	},
	{
		"large bodies take the memory that is reserved for small ones", "internal/membudget/membudget.go",
		"	if !small {\n", "	if false {\n",
		"./internal/membudget", "TestLargeBodiesLeaveMemoryForSmallOnes",
	},
	{
		"the memory of a body that could not be read stays taken", "internal/membudget/read.go",
		"		a.giveBack(int64(cap(body)))\n", "",
		"./internal/membudget", "TestFailedReadReturnsMemory",
	},
	{
		"a request that has ended takes memory that nobody returns", "internal/membudget/membudget.go",
		"if a.closed || !a.budget.take(bytes, small) {", "if !a.budget.take(bytes, small) {",
		"./internal/membudget", "TestClosedAccountTakesNothing",
	},
	{
		"a back end counts as faulty when this node has no memory for its answer", "internal/gateway/attempt.go",
		"	case outcome.NoMemory:\n		return replica.Neutral\n", "",
		"./platform", "TestAnswerWithoutMemoryMayHaveRun",
	},
	{
		"a refusal without an id counts whatever its connection has carried", "platform/backend.go",
		"return refused && answer.FirstAnswer", "return refused",
		"./platform", "TestRefusalWithoutID",
	},
	{
		"a request counts as not sent while it may still be written", "internal/exchange/connection.go",
		"	c.abort()\n	<-writing.done\n", "",
		"./internal/exchange", "TestNotSentIsFinal",
	},
	{
		"the target of a request is rewritten by package url", "internal/exchange/write.go",
		"message.Method, message.URL.Opaque, message.Host", "message.Method, message.URL.RequestURI(), message.Host",
		"./internal/exchange", "TestWrittenRequests",
	},
	{
		"the lists of a frame take any memory", "internal/message/codec.go",
		"if c.listBytes > maximumLists {", "if false {",
		"./internal/message", "TestMemoryOfDecodedFrame",
	},
	{
		"a connection carries a request again", "internal/exchange/carried.go",
		"return id != \"\" && slices.Contains(c.hashes, hashOf(id))", "return id != \"\" && slices.Contains(c.hashes, hashOf(id)) && false",
		"./platform", "TestLateCopyOfRefusal",
	},
	{
		"a connection that replaces one which carried the request is not verified", "internal/exchange/pool.go",
		"			request.VerifyConnection = true\n", "",
		"./internal/exchange", "TestReplacingConnectionIsVerified",
	},
	{
		"of several idle connections only the last one is looked at", "internal/exchange/pool.go",
		"for i > 0 && idle[i].carried.contains(request.ID) {", "for false {",
		"./internal/exchange", "TestOtherIdleConnectionIsUsed",
	},
	{
		"a connection is never closed for the number of its requests", "internal/exchange/connection.go",
		" || c.carried.full() {", " {",
		"./internal/exchange", "TestMaximumRequests",
	},
	{
		"a request that is not repeatable is retried without proof that it has not run", "internal/forward/retry.go",
		"return r.route.Repeatable || kind.NotRun()", "return true",
		"./internal/gateway", "TestRandomFaults",
	},
	{
		"a request that is not repeatable is hedged", "internal/forward/hedge.go",
		"r.settings.HedgeShare > 0 && r.route.Repeatable &&", "r.settings.HedgeShare > 0 &&",
		"./internal/gateway", "TestRandomFaults",
	},
	{
		"hedges exceed the maximum number of attempts", "internal/forward/hedge.go",
		"s.attemptsInFlight() == 1 && s.delivered < r.route.MaximumAttempts", "s.attemptsInFlight() == 1",
		"./internal/forward", "TestNoHedgeBeyondMaximumAttempts",
	},
	{
		"the number of extra attempts is not limited", "internal/limit/sliding.go",
		"if float64(b.extrasInWindow()+1) > (1-reserved)*(b.share*float64(b.requestsInWindow())+slack) {", "if false {",
		"./internal/gateway", "TestRandomFaults",
	},
	{
		"draining back ends are picked", "internal/replica/pick.go",
		"return !r.Draining && !r.misdirected", "return !r.misdirected",
		"./internal/replica", "TestDrainingAndMisdirectedAreNeverPicked",
	},
	{
		"back ends whose entries disappeared are used without a time limit", "internal/replica/doubt.go",
		"	if until <= now {\n		s.recordDeparture(now, known)\n		s.forget(known)\n		return true\n	}\n", "",
		"./internal/replica", "TestVanishedEntry",
	},
	{
		"an entry that expired during a store outage is removed at once", "internal/replica/doubt.go",
		"	if until <= now {\n		s.recordDeparture(now, known)", "	if true {\n		s.recordDeparture(now, known)",
		"./internal/gateway", "TestExpiredEntries",
	},
	{
		"an entry of an earlier incarnation of a back end is applied", "internal/replica/set.go",
		"	case entry.startedBefore(known.Entry):\n		return false\n", "",
		"./internal/replica", "TestEntryOfEarlierIncarnationIsIgnored",
	},
	{
		"an earlier incarnation of a departed back end is readmitted", "internal/replica/departed.go",
		"	case entry.startedBefore(known.lastEntry):\n		return entry, false\n", "",
		"./internal/replica", "TestEntryOfEarlierIncarnationIsIgnored",
	},
	{
		"a restarted back end keeps the state of its earlier incarnation", "internal/replica/set.go",
		"	case entry.startedAfter(known.Entry), entry.Service", "	case entry.Service",
		"./internal/replica", "TestRestartAfterDraining",
	},
	{
		"a draining back end is readmitted as ready", "internal/replica/departed.go",
		"	entry.Draining = entry.Draining || known.lastEntry.Draining && entry.StartedAt != 0\n", "",
		"./internal/replica", "TestDrainingIsFinalForAnIncarnation",
	},
	{
		"connections to an earlier incarnation of a back end are used", "internal/exchange/pool.go",
		"	idle := p.idle[request.Endpoint]\n", "	for e := range p.idle {\n		if e.Address == request.Address {\n			request.Endpoint = e\n		}\n	}\n	idle := p.idle[request.Endpoint]\n",
		"./internal/exchange", "TestConnectionToEarlierProcess",
	},
	{
		"an error answer that the request caused ejects the back end", "internal/gateway/attempt.go",
		"		if outcome.BlamesRequest {\n", "		if false {\n",
		"./platform", "TestClientErrorsDoNotEject",
	},
	{
		"contradictions between a back end and other replicas are not recorded", "internal/gateway/node_view.go",
		"	n.recordContradictions(attempt.Shard)\n", "",
		"./platform", "TestBackEndThatFailsEveryRequestIsAvoided",
	},
	{
		"any answer of the store resets the retry backoff", "internal/follow/failures.go",
		"	c.contactAt = now\n	c.failures = 0\n", "	c.contactAt = now\n	c.failures = 0\n	c.backoff = 0\n",
		"./internal/follow", "TestEarlierEraIsAskedWithGrowingPauses",
	},
	{
		"a large change is sent to all nodes at once", "internal/gateway/change_tree.go",
		"	if !isLarge(records, len(receivers)) {", "	if true {",
		"./internal/gateway", "TestLargeChangeLeavesLinkCapacity",
	},
	{
		"a large change is not forwarded by the nodes that receive it", "internal/gateway/change_tree.go",
		"	for _, child := range position.children {", "	for _, child := range position.children[:0] {",
		"./internal/gateway", "TestLargeChangeIsForwardedAtOnce",
	},
	{
		"a request's deadline starts when the request is read", "internal/gateway/serve.go",
		"	return min(readAt, g.clock.FromTime(call.Arrived))", "	return readAt",
		"./internal/gateway", "TestDeadlineIncludesUnreadTime",
	},
	{
		"a request is served although its caller disconnected before it was read", "internal/gateway/serve.go",
		"	if call.callerHasLeft(ctx) {", "	if ctx.Err() != nil {",
		"./internal/gateway", "TestCallerDisconnectedBeforeRead",
	},
	{
		"attempts are sent although the caller has disconnected", "platform/backend.go",
		"	if send.CallerGone() {", "	if false {",
		"./platform", "TestNothingIsSentForDisconnectedCaller",
	},
	{
		"the time that a request lay unread in the machine is ignored", "platform/ingress.go",
		"time.Now().Add(-caller.UnreadFor())", "time.Now()",
		"./platform", "TestDeadlineCountsTimeUnread",
	},
	{
		"store entries of other writers are used", "platform/entry.go",
		"	if wrong := document.invalidField(); wrong != \"\" {", "	if wrong := \"\"; wrong != \"\" {",
		"./platform", "TestInvalidEntryIsRejected",
	},
	{
		"a back end whose entry became invalid is still used", "internal/gateway/store_changes.go",
		"			if g.replicas.Remove(now, content.ID, now) {\n", "			if false {\n",
		"./platform", "TestInvalidEntryAffectsOnlyItsBackEnd",
	},
	{
		"an older configuration replaces the one in force", "internal/gateway/store_changes.go",
		"	if current != nil && configuration.Version <= current.Version() {", "	if current != nil && current.Version() == 0 {",
		"./platform", "TestConfigurationIsApplied",
	},
	{
		"older records replace newer ones", "internal/spread/spread.go",
		"if found && !record.Revision.After(known.Revision) {", "if false {",
		"./internal/spread", "TestOlderRecordsAreDropped",
	},
	{
		"an answer to an earlier process of the node counts as complete", "internal/spread/replication.go",
		"return m.Complete || !m.Since.After(c.revision) && m.Since.Era == m.Revision.Era", "return true",
		"./internal/spread", "TestAnswerToAnEarlierProcess",
	},
	{
		"a node does not request records from peers with newer ones", "internal/spread/replication.go",
		"return []OutgoingMessage{{peer, &message.StoreRequest{Revision: c.revision}}}", "return []OutgoingMessage{{peer, &message.StoreDigest{}}}",
		"./internal/gateway", "TestNodeWithoutStoreAccess",
	},
	{
		"a connection with bytes after the answer is reused", "internal/exchange/connection.go",
		"!lengthKnown || response.Close || c.reader.Buffered() > 0", "!lengthKnown || response.Close",
		"./platform", "TestSurplusBytesAreDiscarded",
	},
	{
		"the request id of an answer is not compared", "platform/backend.go",
		"return id == send.Call.ID", "return true",
		"./platform", "TestAnswersOfOneBackEnd",
	},
	{
		"the connection is kept after a request with a transfer encoding", "platform/ingress.go",
		"i.gateway.Leaving() || len(r.TransferEncoding) > 0", "i.gateway.Leaving()",
		"./platform", "TestNoSmuggling",
	},
	{
		"a partial answer does not report the missing shards", "internal/forward/answer.go",
		"MissingShards: len(r.shards) - r.answered, Reason: reason}", "Reason: reason}",
		"./internal/gateway", "TestRandomFaults",
	},
	{
		"parts of answers without a signature are counted", "internal/forward/forward.go",
		"(!r.route.FansOut() || outcome.Response.Signature != \"\")", "true",
		"./internal/forward", "TestFinish",
	},
	{
		"a request is sent although too few shards are known", "internal/forward/refusal.go",
		"if r.openShards() >= r.requiredShards() {", "if true {",
		"./platform", "TestRefusedBeforeAnythingIsSent",
	},
	{
		"a shard is tried on more back ends than the route allows", "internal/forward/attempt.go",
		"if countDistinct(s.asked) >= r.route.MaximumAttempts {", "if false {",
		"./internal/forward", "TestRetryPauseBounds",
	},
	{
		"a retry after a pause is not limited by the retry budget", "internal/forward/shard.go",
		"return s.delivered <= s.extrasSpent", "return true",
		"./internal/forward", "TestRetryPauseBounds",
	},
	{
		"a shard is abandoned although there is time for another attempt", "internal/forward/pause.go",
		"if r.settings.RetryPause > 0 && known", "if false && known",
		"./internal/forward", "TestRetryAfterPause",
	},
	{
		"a request waits for a shard that no back end can answer", "internal/forward/pause.go",
		"until := max(now+s.pauseLength, recovery)", "until := max(now+s.pauseLength, min(recovery, 0))",
		"./internal/forward", "TestAnsweredOnceNothingMoreCanArrive",
	},
	{
		"attempts do not wait for the check of another one whether the caller has disconnected", "internal/gateway/run.go",
		"	r.callerCheck.Lock()\n	defer r.callerCheck.Unlock()\n", "",
		"./internal/gateway", "TestAttemptsWrittenTogetherFindCallerGone",
	},
	{
		"an overdue timer of a hedge is taken for a slow back end", "internal/forward/hedge.go",
		"if now-dueAt > hedgeRecheckInterval {", "if false {",
		"./internal/forward", "TestLateTimerIsNoSlowBackEnd",
	},
	{
		"an attempt of an abandoned request is written", "internal/gateway/run.go",
		"	r.callerFoundGone = true\n", "",
		"./internal/gateway", "TestAttemptOfAbandonedRequestIsNotWritten",
	},
	{
		"a caller whose connection the node has closed counts as connected", "internal/serving/caller.go",
		"return disconnected || !open", "return disconnected || !open && disconnected",
		"./internal/serving", "TestClosedConnectionCountsAsDisconnected",
	},
	{
		"a request that was read late is refused at once for want of room", "internal/forward/timing.go",
		"acceptanceDeadline: now + route.TargetLatency/acceptanceDivisor", "acceptanceDeadline: arrived + route.TargetLatency/acceptanceDivisor",
		"./internal/forward", "TestUnreadRequestIsNotRefusedAtOnce",
	},
	{
		"a request that has missed its target latency unread is answered with few shards", "internal/forward/timing.go",
		"	if t.callerTargetMissed {\n		return t.serviceTarget\n	}\n", "",
		"./internal/forward", "TestUnreadRequestGetsAllShards",
	},
	{
		"the time for which a request lay unread counts as overload of the back ends", "internal/forward/finish.go",
		"if now >= r.timing.serviceTarget {", "if now >= r.timing.callerTarget {",
		"./internal/forward", "TestUnreadTimeIsNoOverload",
	},
	{
		"a request of which no attempt has run is not answered at its acceptance deadline", "internal/forward/finish.go",
		"case r.nothingRan() && now >= r.timing.acceptanceDeadline:", "case false:",
		"./internal/forward", "TestAnsweredOnceNothingMoreCanArrive",
	},
	{
		"a new connection to a back end near its connection limit is used without verification", "internal/exchange/dial.go",
		"if request.VerifyConnection && !staysSilent(", "if false && !staysSilent(",
		"./internal/exchange", "TestRejectedConnection",
	},
	{
		"a back end without a free slot counts as failing", "internal/replica/replica.go",
		"		r.verifyConnectionsUntil = now + verifyConnectionsFor\n", "		r.ejection.consecutiveFailures += failuresToEject\n		r.ejection.extend(now)\n",
		"./internal/replica", "TestRejectedConnection",
	},
	{
		"an attempt is sent that cannot be answered before the deadline", "internal/forward/attempt.go",
		"return now >= r.timing.deadline || now+chosen.ExpectedMinimum(now) > r.timing.deadline", "return false",
		"./internal/forward", "TestNoAttemptThatCannotMeetDeadline",
	},
	{
		"a watch without any answer does not time out", "internal/gateway/store_reading.go",
		"	if g.copyStaleIn() <= 0 {\n		return func() bool { return false }", "	if true {\n		return func() bool { return false }",
		"./platform", "TestStoreCopyAgeIsBounded",
	},
	{
		"a node with a stale copy of the store waits for a watch", "internal/follow/follow.go",
		"poll := c.pollNext || state.Stale", "poll := c.pollNext",
		"./internal/follow", "TestStaleCopyIsPolled",
	},
	{
		"a peer connection without acknowledgements is kept", "internal/transport/outgoing_connection.go",
		"if s.unacknowledged > 0 {", "if false {",
		"./internal/transport", "TestSilentConnectionIsReplaced",
	},
	{
		"nodes that watch the store do not send changes to each other", "internal/gateway/watch_assignment.go",
		"!slices.Contains(a.receivers, address) {", "!slices.Contains(a.receivers, address) && !slices.Contains(watchers, address) {",
		"./internal/gateway", "TestNodesShareStoreCalls",
	},
	{
		"a store failure seen by a single node makes entries doubtful", "internal/gateway/store_copy.go",
		"case !c.records.DeletionsReliable(now):", "case true:",
		"./platform", "TestEntryDeletedWithoutDrain",
	},
	{
		"entries that disappear together stay doubtful for longer than the drain timeout of a back end", "internal/gateway/store_copy.go",
		"return min(longest, now+(c.propagation.Bound-age-doubtMargin).Duration())", "return longest",
		"./platform", "TestEntryDeletedWithoutDrain",
	},
	{
		"entries that expired while the store was unreachable are removed at once", "internal/spread/confirmation.go",
		"return c.confirmed.known && at-c.confirmed.at < c.settings.EntryLifetime && at-c.reconfirmedAt >= c.settings.RewriteWindow", "return at >= 0",
		"./internal/gateway", "TestExpiredEntries",
	},
	{
		"a request that is not repeatable is sent over a connection that may be dead", "internal/exchange/pool.go",
		"return reliable && c.canReuse(now)", "return (reliable || true) && c.canReuse(now)",
		"./internal/exchange", "TestIdleConnectionForNotRepeatableRequest",
	},
	{
		"a request is sent whose caller has disconnected", "internal/gateway/serve.go",
		"		// Nobody waits for the answer: no back end shall begin to work on it.\n		return Result{CallerGone: true}\n", "",
		"./internal/gateway", "TestDisconnectedCallerIsNotServed",
	},
	{
		"a node that runs out of file descriptors stops", "internal/serving/callers.go",
		"if resourcesExhausted(err) {", "if false {",
		"./internal/serving", "TestAcceptResumesAfterResourceExhaustion",
	},
	{
		"a request does not wait until a back end is available again", "internal/gateway/serve.go",
		"	g.awaitBackEnds(ctx, route, holdUntil)\n", "",
		"./internal/gateway", "TestFirstListing",
	},
	{
		"attempts whose answer is no longer needed are not cancelled at once", "internal/gateway/run.go",
		"r.cancels[action.Attempt]()", "time.AfterFunc(150*time.Millisecond, r.cancels[action.Attempt])",
		"./internal/gateway", "TestUnusedAttemptsAreCancelled",
	},
	{
		"a shard that the answer may lack gets one of the last extra attempts", "internal/limit/need.go",
		"	if n.Extras == 0 {\n		return 1\n	}\n", "",
		"./internal/forward", "TestShardThatMayLackLeavesLastExtras",
	},
	{
		"a request gets extra attempts although it needs more than there are", "internal/forward/need.go",
		"!s.need.CanBeMet(), ", "",
		"./internal/forward", "TestNeedBeyondBudgetsGetsNone",
	},
	{
		"a less urgent request gets the last extra attempt", "internal/limit/need.go",
		"	if n.Rank > 0 {", "	if false {",
		"./internal/forward", "TestLastExtraGoesToMoreUrgent",
	},
	{
		"a hedge gets the last extra attempt", "internal/limit/need.go",
		"	if n.Hedge {", "	if false {",
		"./internal/forward", "TestLastExtraGoesToMoreUrgent",
	},
	{
		"a request that surely fails keeps its attempts", "internal/forward/finish.go",
		"	case !enough && r.hopeless():", "	case false:",
		"./internal/forward", "TestHopelessRequestIsGivenUp",
	},
	{
		"an uncertain request is given up", "internal/forward/hopeless.go",
		" && r.node.EarliestExtra(s.service) >= r.timing.deadline", "",
		"./internal/forward", "TestUncertainRequestKeepsItsShards",
	},
	{
		"the slack that nodes lend is also divided among them", "internal/gateway/retry_slack.go",
		"(usableSlackFraction*settings.FleetSlack - g.lentSlack().Allowed)", "(usableSlackFraction * settings.FleetSlack)",
		"./internal/gateway", "TestSlackHoldsUnderLoadOfAllNodes",
	},
	{
		"an extra attempt needs no token that was lent", "internal/gateway/retry_slack.go",
		"	_, granted := verdict.(quota.Granted)\n	return granted\n", "	_, refused := verdict.(quota.Exceeded)\n	return !refused\n",
		"./internal/gateway", "TestSlackHoldsInDrawnFleets",
	},
	{
		"nodes lend each other no slack", "internal/gateway/retry_slack.go",
		"	if !g.mayBorrow(now) {\n		return false\n	}\n	verdict", "	if true {\n		return false\n	}\n	verdict",
		"./internal/gateway", "TestSlackIsLentToNodeThatNeedsIt",
	},
	{
		"a retry does not wait until it is known what the request needs", "internal/forward/need.go",
		"purpose == Retry && r.needUnknown(s), ", "",
		"./internal/forward", "TestNeedBeyondBudgetsGetsNone",
	},
	{
		"a node borrows slack right after its start", "internal/gateway/retry_slack.go",
		" && now >= g.settings.Load().Retries.Window\n", "\n",
		"./internal/gateway", "TestStartupRetrySlack",
	},
	{
		"early spending of a window is forgotten before the window ends", "internal/limit/sliding.go",
		"func (b *SlidingBudget) extrasInWindow() int { return sum(b.extras) }",
		"func (b *SlidingBudget) extrasInWindow() int { return sum(b.extras) - b.extras[(b.newestPart+1)%partsHeld] }",
		"./internal/limit", "TestExtrasCountForWholeWindow",
	},
	{
		"a restarted node gets its whole slack at once", "internal/gateway/retry_slack.go",
		"if g.fleet.nodeCount == 0 || now < settings.Window {", "if g.fleet.nodeCount == 0 {",
		"./internal/gateway", "TestStartupRetrySlack",
	},
	{
		"the store is listed without a pause after its history was lost repeatedly", "internal/follow/failures.go",
		"		if !repeated {\n			return\n		}\n", "		_ = repeated\n		return\n",
		"./internal/follow", "TestCallFailures",
	},
	{
		"a node picks peers in its own region only", "internal/gateway/fleet.go",
		"return append(picked, f.members.Pick(count-len(picked), membership.Member.Usable)...)",
		"return append(picked, f.members.Pick(count-len(picked), sameRegion)...)",
		"./internal/gateway", "TestRegionWithoutStoreAccess",
	},
	{
		"the age of a cancelled attempt counts as its latency", "internal/replica/replica.go",
		"time.Duration(r.cancelledFactor*float64(elapsed))", "elapsed",
		"./internal/replica", "TestCancelledAttempt",
	},
	{
		"no request is rejected under overload", "internal/admit/history.go",
		"level.TurnedAwayShare = min(1-targetMissingShare/level.MissingShare, maximumTurnedAwayShare)", "level.TurnedAwayShare = 0",
		"./internal/gateway", "TestTurnedAwayUnderOverload",
	},
	{
		"requests are rejected although no back end sheds load", "internal/admit/history.go",
		"if level.ShedShare >= minimumShedShare && level.MissingShare > targetMissingShare {", "if level.MissingShare > targetMissingShare {",
		"./internal/admit", "TestTurnedAway",
	},
	{
		"a request that was rejected before is rejected again", "internal/admit/admit.go",
		"if callerTimeout < c.longestTimeout[route]-waitedMargin || draw()", "if draw()",
		"./internal/gateway", "TestTurnedAwayUnderOverload",
	},
	{
		"requests are refused while the node starts", "internal/gateway/serve.go",
		"		g.awaitFirstListing(ctx, holdUntil)\n", "",
		"./internal/gateway", "TestFirstListing",
	},
	{
		"a node with a stale copy of the store leaves watching to other nodes", "internal/gateway/watch_assignment.go",
		"return g.fleet.watch.shared && !g.fleet.watch.watches && !g.storeCopy.stale(now)", "return g.fleet.watch.shared && !g.fleet.watch.watches",
		"./internal/gateway", "TestFailingWatchers",
	},
	{
		"a peer's report about the store counts before its changes have arrived", "internal/spread/peer_confirmation.go",
		"if !c.peerConfirmed.known || c.peerConfirmed.revision.After(c.revision) {", "if !c.peerConfirmed.known {",
		"./internal/spread", "TestConfirmation",
	},
	{
		"a configuration that was rejected is not tried again under new settings", "internal/gateway/gateway.go",
		"	g.applyRejectedConfiguration()\n", "",
		"./internal/gateway", "TestRejectedConfigurationUnderNewSettings",
	},
	{
		"an answer of the store confirms a copy as of its arrival", "internal/spread/confirmation.go",
		"at: clock.FromDuration(asOf), by: Store", "at: clock.FromDuration(now), by: Store",
		"./internal/gateway", "TestLateAnswersOfStore",
	},
	{
		"a watch that ended early without changes confirms a copy as of the end of its wait", "internal/follow/follow.go",
		" && answeredAt-startedAt >= waited", "",
		"./internal/follow", "TestAnsweredAfter",
	},
	{
		"a report of a peer confirms a copy as of its arrival", "internal/spread/peer_confirmation.go",
		"	if m.At == 0 {\n", "	if true {\n",
		"./internal/gateway", "TestLateMessagesOfWatchers",
	},
	{
		"the clock of a peer is taken to have shown a reading when the answer with it arrived", "internal/peerclock/peerclock.go",
		"p.measured, p.measuredAt, p.reading = true, requestedAt, m.At", "p.measured, p.measuredAt, p.reading = true, now, m.At",
		"./internal/peerclock", "TestEarliest",
	},
	{
		"the readings of a new process at an address are placed by the clock of the one before", "internal/peerclock/peerclock.go",
		"if moment > now || now-moment > maximumAge {", "if false {",
		"./internal/peerclock", "TestClockOfAnotherProcess",
	},
	{
		"a node of an earlier release is sent fields that it does not know", "internal/message/version.go",
		"	case version < VersionClocks:\n		m.At = 0\n", "",
		"./internal/transport", "TestConfirmationOfEarlierRelease",
	},
	{
		"changes after a gap count as complete", "internal/spread/replication.go",
		"return m.Complete || !m.Since.After(c.revision) && m.Since.Era == m.Revision.Era", "return true",
		"./internal/spread", "TestMissingChangesAreRequested",
	},
	{
		"a node that has just started uses its whole share of connections", "internal/gateway/fleet_share.go",
		"		divisor = settings.Fleet.StartupConnectionDivisor\n", "		divisor = 1\n",
		"./internal/gateway", "TestStartupConnectionShare",
	},
	{
		"back ends of the same region get no larger share of connections", "internal/replica/connections.go",
		"SameRegion: min(max(inRegion, each), maximum)", "SameRegion: min(max(inRegion, each), each)",
		"./internal/replica", "TestConnectionShare",
	},
	{
		"idle connections to other regions are limited like those within the region", "internal/replica/connections.go",
		"return IdleLimit{MaximumIdle: 1, IdleTimeout: otherRegionIdleTimeout}", "return IdleLimit{MaximumIdle: 1}",
		"./internal/replica", "TestIdleLimit",
	},
	{
		"the number of idle connections is not limited", "internal/exchange/pool.go",
		"kept := len(p.idle[request.Endpoint]) < request.MaximumIdle", "kept := true",
		"./internal/exchange", "TestMaximumIdleConnections",
	},
	{
		"a node uses all replicas of its region", "internal/replica/subset.go",
		"		r.outsideSubset = true\n", "		r.outsideSubset = false\n",
		"./internal/replica", "TestSubsetSelection",
	},
	{
		"the last extra attempts are spent on shards that are merely slow", "internal/forward/hedge.go",
		"r.node.ExtraAttemptsLeft(s.service) < float64(r.settings.LastExtras)", "false",
		"./internal/forward", "TestSiblingHedge",
	},
	{
		"a refused request leaves no log line", "platform/ingress.go",
		"		i.gateway.LogRefusal(&gateway.Call{ID: r.Header.Get(headerRequestID)}, refusal.Failure)\n", "",
		"./platform", "TestEachCodeIsLogged",
	},
	{
		"back ends of any region are picked", "internal/replica/pick.go",
		"	if !o.Regions.Allows(r.region) {", "	if false {",
		"./internal/gateway", "TestRequestsStayInRouteRegions",
	},
	{
		"a configuration with an unknown region is put in force", "internal/gateway/store_changes.go",
		"err = table.CheckRegions(g.settings.Load().Topology.KnowsRegion)", "err = nil",
		"./internal/gateway", "TestUnknownRegionIsRejected",
	},
	{
		"back ends of evacuated zones are picked", "internal/replica/pick.go",
		" && !r.evacuated", "",
		"./internal/gateway", "TestEvacuatedZoneGetsNoAttempts",
	},
	{
		"cold back ends get more requests than their warm-up allows", "internal/replica/pick.go",
		" && s.withinColdQuota(now, r)", "",
		"./internal/replica", "TestColdBackEndRateLimit",
	},
	{
		"a node that has just started uses a share of the cold back ends' quota", "internal/replica/warmup.go",
		"	if now < coldWindow {", "	if false {",
		"./internal/replica", "TestColdBackEndAndStartingNodes",
	},
	{
		"back ends of a restored zone count as warm", "internal/replica/zones.go",
		"known.cold.until = max(known.cold.until, now+s.warmups[known.Service].Duration.Duration())", "_ = now",
		"./internal/replica", "TestRestoredZoneIsCold",
	},
	{
		"a refusal with free slots counts as one of a full back end", "internal/gateway/attempt.go",
		"			return replica.RefusedWithFreeSlots\n", "			return replica.Refused\n",
		"./internal/gateway", "TestRefusalsWithFreeSlots",
	},
	{
		"reports of peers take precedence over a node's own observations", "internal/replica/report.go",
		"if seenAt > r.slowdown.at && (r.load.at == 0 || now-r.load.at > ownObservationPrecedence) {", "if seenAt > r.slowdown.at {",
		"./internal/replica", "TestReportedSlowdown",
	},
	{
		"outdated health reports are applied", "internal/healthreport/healthreport.go",
		"age > maximumAge ||", "",
		"./internal/healthreport", "TestInvalidReportsAreIgnored",
	},
	{
		"health reports are not forwarded", "internal/gateway/health_reports.go",
		"	if len(newReports) > 0 {\n		g.reports.signal()\n	}\n", "",
		"./internal/gateway", "TestStragglerIsAvoidedByAllNodes",
	},
}
