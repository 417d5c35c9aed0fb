//go:build prove

package mutation

// quotaMutations remove guards of the limits that all nodes share.
var quotaMutations = []mutation{
	{
		"an accountant that has just started lends all of its pools", "internal/quota/accountant.go",
		"	if a.starting(now, p) || succeeding || now < p.unknownUntil {", "	if succeeding || now < p.unknownUntil {",
		"./internal/quota", "TestNodesThatStartTogether",
	},
	{
		"a node lends as soon as it is started, before it knows the others", "internal/quota/accountant.go",
		"	return p.owned && a.joined && !settling", "	_ = settling\n	return p.owned",
		"./internal/quota", "TestNodesThatStartTogether",
	},
	{
		"a node lends of pools that are not its own", "internal/quota/accountant.go",
		"	return p.owned && a.joined && !settling", "	return a.joined && !settling",
		"./internal/quota", "TestWrongAccountantLendsNothing",
	},
	{
		"a new accountant of a pool lends all of it at once", "internal/quota/accountant.go",
		"	if a.starting(now, p) || succeeding || now < p.unknownUntil {", "	_ = succeeding\n	if a.starting(now, p) || now < p.unknownUntil {",
		"./internal/quota", "TestLongCut",
	},
	{
		"both sides of a long cut lend all", "internal/quota/accountant.go",
		"	part := a.lowestReach(now, p)", "	part := 1.0",
		"./internal/quota", "TestLongCut",
	},
	{
		"tokens of a lost borrower count as unused when their lease ends", "internal/quota/pool.go",
		"	p.used.add(p.used.slot(l.until), l.tokens)\n}", "}",
		"./internal/quota", "TestLostBorrower",
	},
	{
		"a node uses tokens whose lease has ended", "internal/quota/ledger.go",
		"		if e.until > now {\n			return false\n		}\n", "		if e.until > now || e.tokens > 0 {\n			return false\n		}\n",
		"./internal/quota", "TestLeaseEnds",
	},
	{
		"a grant that is not waited for any more is used", "internal/quota/ledger.go",
		"	if !l.asking() || g.Sequence <= l.received || g.Sequence > l.sequence {", "	if g.Sequence > l.sequence {",
		"./internal/quota", "TestLateGrantIsIgnored",
	},
	{
		"an overtaken report replaces a later one", "internal/quota/pool.go",
		"	if use.Sequence <= b.sequence {\n		return nil\n	}\n", "",
		"./internal/quota", "TestOvertakenReport",
	},
	{
		"a report of more tokens than can be counted is counted", "internal/quota/accountant.go",
		"	if !valid || !countable(use) {", "	if !valid {",
		"./internal/quota", "TestUncountableReport",
	},
	{
		"uses are forgotten when the window changes", "internal/quota/pool.go",
		"			p.used.add(p.used.slot(u.at), u.count)", "			_ = u",
		"./internal/quota", "TestWindowChanges",
	},
	{
		"an accountant lends all under a longer window", "internal/quota/accountant.go",
		" || now < p.unknownUntil {", " {",
		"./internal/quota", "TestWindowChanges",
	},
	{
		"a shorter window that one of the nodes tells replaces a longer one at once", "internal/quota/pool.go",
		"	if told < p.limit.Window && now-p.windowTold < p.inDoubtFor() {", "	if false {",
		"./internal/quota", "TestWindowsDiffer",
	},
	{
		"tokens of a higher limit are used under a lower one", "internal/quota/usage.go",
		"	if limit.Bound < u.limit.Bound || limit.Window != u.limit.Window {", "	if false {",
		"./internal/quota", "TestLowerLimitDropsTokens",
	},
	{
		"a node that has met no other member lends all retry slack", "internal/gateway/quota_members.go",
		"g.fleet.joined && !g.cutOffFromStart()", "g.fleet.joined",
		"./internal/gateway", "TestNodeThatMetNobodyLendsNoSlack",
	},
	{
		"a process that starts divides limits among the members that it has met", "internal/gateway/quota_members.go",
		"			members = append(members, quota.Member{Address: e.Address, Zone: e.Zone, Region: e.Region})\n", "",
		"./internal/gateway", "TestRestartWhileCutOffKeepsTheBound",
	},
	{
		"a process that starts waits until it has met others", "internal/gateway/quota_members.go",
		"(g.fleet.joined || now >= meetOthersTime)", "!g.cutOffFromStart()",
		"./internal/gateway", "TestLastNodeServesItsTenants",
	},
	{
		"who acts for a lost accountant lends all of its pool", "internal/quota/accountant.go",
		"		part = lostShare", "		part = 1",
		"./internal/quota", "TestLostAccountantAndItsSubstitute",
	},
	{
		"a node that may pass for lost lends all of its pools", "internal/quota/standing.go",
		"return s != nil && !s.Running && s.MembersInDoubt", "return false",
		"./internal/quota", "TestLostAccountantAndItsSubstitute",
	},
	{
		"a node that others have counted as away lends as one that was there", "internal/quota/holder.go",
		"first && (standing.Away || standing.LateStart)", "first && standing.LateStart",
		"./internal/quota", "TestNodeThatWasAwayStartsAnew",
	},
	{
		"a process lends the reserve that its predecessor lent", "internal/quota/standing.go",
		"s.Listed && !s.RapidRestart", "s.Listed",
		"./internal/quota", "TestRapidRestartLendsNoReserve",
	},
	{
		"a process lends the reserve before its successor can know of it", "internal/quota/standing.go",
		"s.Listed && !s.RapidRestart", "!s.RapidRestart",
		"./internal/quota", "TestRapidRestartLendsNoReserve",
	},
	{
		"a process goes by its registrar alone, which may not know the one before it", "internal/roster/roster.go",
		"			c.followsRapidly = true\n", "",
		"./internal/roster", "TestProcessKnowsItsPredecessor",
	},
	{
		"nodes that start together all take themselves for registrars", "internal/roster/plan.go",
		"!c.HasRecord() && now-c.grownAt < stableViewTime", "false",
		"./internal/roster", "TestNodesThatStartTogetherWriteOnce",
	},
	{
		"nodes of a lost registrar are forgotten", "internal/roster/roster.go",
		"		c.dropped[e.Address] = e\n", "",
		"./internal/roster", "TestNodesOfLostRegistrarAreAway",
	},
	{
		"the token of a request of which nothing has run is kept", "internal/gateway/serve.go",
		"	if token != nil && !result.mayHaveRun() {", "	if false {",
		"./internal/gateway", "TestTokenReturns",
	},
	{
		"the token of a request that may have run is returned", "internal/gateway/quotas.go",
		"		return !r.Failure.NotRun\n	}", "		return false\n	}",
		"./internal/gateway", "TestTokenOfLostRequestStays",
	},
	{
		"a tenant's limit is not asked for", "internal/gateway/quotas.go",
		"	if call.Tenant == nil || call.Tenant.Rate <= 0 {", "	if true {",
		"./internal/gateway", "TestTenantLimitOverNodes",
	},
}
