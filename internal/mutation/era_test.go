//go:build prove

package mutation

// eraMutations take out guards against a store that comes back from a copy.
var eraMutations = []mutation{
	{
		"revisions of two eras are compared by their numbers", "internal/history/history.go",
		"cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))", "cmp.Compare(r.Number, other.Number)",
		"./platform", "TestStoreRestoredFromBackup",
	},
	{
		"a watch is gone on with in another era", "internal/follow/follow.go",
		"if at.Era != from.Era {", "if false {",
		"./internal/follow", "TestAnotherEra",
	},
	{
		"pages of two eras make a listing", "internal/follow/follow.go",
		"if at.Era != c.listingRevision.Era {", "if false {",
		"./internal/follow", "TestAnotherEra",
	},
	{
		"a listing of an earlier era counts", "internal/follow/follow.go",
		"if at.Era < c.revision.Era {", "if false {",
		"./internal/follow", "TestAnotherEra",
	},
	{
		"what a copy says as it was known is news", "internal/spread/spread.go",
		"	return !same\n", "	return !same || found\n",
		"./internal/spread", "TestSameValueIsNoChange",
	},
	{
		"what is gone after a copy was said by somebody", "internal/spread/confirmation.go",
		" &&\n		c.RewriteRemaining(now) == 0", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"doubt after a copy is as short as after an outage", "internal/gateway/store_copy.go",
		"		longest = max(longest, now+c.records.RewriteRemaining(now).Duration())\n", "",
		"./internal/gateway", "TestDoubtLastsUntilRewritten",
	},
	{
		"back ends that had left come back with a copy", "internal/gateway/store_changes.go",
		"	g.replicas.DistrustDeparted(now + g.settings.Load().StoreCopy.DistrustDepartedFor)\n", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"a back end changes its mind about leaving", "internal/replica/set.go",
		"	entry.Draining = entry.Draining || known.Draining\n", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"a zone whose evacuation a copy lacks is taken back at once", "internal/gateway/store_copy.go",
		"if left := c.records.RewriteRemaining(now); left > 0 {", "if left := c.records.RewriteRemaining(now); left > 0 && now < 0 {",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"a zone whose evacuation nobody writes again is never taken back", "internal/gateway/maintain.go",
		"	g.endEvacuationsDue(g.now())\n", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"nodes that start are not told a configuration that a copy lacks", "internal/gateway/store_copy.go",
		"	if lost {\n		c.records.Retain(c.configuration)", "	if lost && key == \"\" {\n		c.records.Retain(c.configuration)",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"nodes that start do not ask for one", "internal/spread/era.go",
		"	return []Send{{peer, &message.StoreRequest{}}}\n", "	return nil\n",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"a node asks for ever for a configuration that it turns down", "internal/spread/era.go",
		"if c.retainedRequests >= maximumRetainedRequests {", "if false {",
		"./internal/spread", "TestRetainedConfiguration",
	},
	{
		"a quarantine that a copy lacks is over", "internal/gateway/quarantine_evidence.go",
		"		g.quarantine.RecordStoreLoss(fingerprint)\n		return\n", "",
		"./internal/gateway", "TestQuarantineMissingFromRestoredStore",
	},
	{
		"a quarantine that was lifted comes back with a copy", "internal/gateway/quarantine_evidence.go",
		"g.storeCopy.records.RewriteRemaining(at) > 0 && g.quarantine.Lifted(fingerprint)", "false",
		"./internal/gateway", "TestLiftedQuarantineInRestoredStore",
	},
	{
		"what one node was let do is lost with a copy", "internal/gateway/store_changes.go",
		"	g.quarantineWrites.scheduleClaimRewrites()\n", "",
		"./internal/gateway", "TestRetrialMissingFromRestoredStore",
	},
	{
		"another node is let do it while the store may lack that one was", "internal/gateway/quarantine_writes.go",
		"if g.storeCopy.records.RewriteRemaining(g.now()) > 0 {", "if false {",
		"./internal/gateway", "TestRetrialMissingFromRestoredStore",
	},
	{
		"a lease of an earlier era is relied on", "platform/storewrite.go",
		"return a == b || a != nil && b != nil && *a == *b", "return a == b || a != nil || b != nil",
		"./platform", "TestWritesAcrossEras",
	},
	{
		"a store that tells no era never comes back from a copy", "internal/history/history.go",
		"	if number < r.Number {", "	if false {",
		"./platform", "TestStoreWithoutEra",
	},
	{
		"documents of another era go on from the versions before", "internal/catalog/document.go",
		"version := max(d.Version, era*eraVersions) + 1", "version := max(d.Version, era) + 1",
		"./internal/simulation", "TestTwoHistories",
	},
	{
		"a base of another era is written over", "internal/standin/store.go",
		"if present.Stamp != base {", "if present.Version != base.Version {",
		"./internal/rehearsal", "TestBaseOfAnotherEra",
	},
	{
		"an entry of another era is not read", "internal/engine/store.go",
		"if e.store.stamps[service] != entry.Stamp {", "if e.store.stamps[service].Version != entry.Version {",
		"./internal/engine", "TestListedEntryOfAnotherEraIsRead",
	},
	{
		"an era that cannot be read passes", "platform/store.go",
		"	era, err := strconv.ParseUint(text, 10, 64)\n	if err != nil {", "	era, err := strconv.ParseUint(text, 10, 64)\n	if false && err != nil {",
		"./platform", "TestEraHeader",
	},
}
