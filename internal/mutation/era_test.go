//go:build prove

package mutation

// eraMutations remove guards against a store that was restored from a backup.
var eraMutations = []mutation{
	{
		"revisions of two eras are compared by their numbers", "internal/history/history.go",
		"cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))", "cmp.Compare(r.Number, other.Number)",
		"./platform", "TestStoreRestoredFromBackup",
	},
	{
		"a watch is continued in another era", "internal/follow/follow.go",
		"if at.Era != from.Era {", "if false {",
		"./internal/follow", "TestAnotherEra",
	},
	{
		"pages of two eras are combined into one listing", "internal/follow/follow.go",
		"if at.Era != c.listingRevision.Era {", "if false {",
		"./internal/follow", "TestAnotherEra",
	},
	{
		"a listing of an earlier era is applied", "internal/follow/follow.go",
		"if at.Era < c.revision.Era {", "if false {",
		"./internal/follow", "TestAnotherEra",
	},
	{
		"a record with an unchanged value counts as a change", "internal/spread/spread.go",
		"	return !same\n", "	return !same || found\n",
		"./internal/spread", "TestSameValueIsNoChange",
	},
	{
		"a tombstone stays at its revision when a listing does not hold its key", "internal/spread/spread.go",
		"if listed[key] || known.Revision.After(revision) {", "if listed[key] || known.Deleted || known.Revision.After(revision) {",
		"./internal/spread", "TestLateRecordOfDeletedKey",
	},
	{
		"a late answer of the store is announced as all changes up to the copy's revision", "internal/gateway/watch_assignment.go",
		"	if answer.until.Before(c.records.Revision()) {\n		return\n	}\n", "",
		"./internal/gateway", "TestLateWatchIsNotAnnounced",
	},
	{
		"changes since an earlier era count as all changes of an era", "internal/spread/replication.go",
		" && m.Since.Era == m.Revision.Era", "",
		"./internal/spread", "TestIncrementalAnswerAcrossEras",
	},
	{
		"entries missing after a restore count as deleted before the rewrite window has ended", "internal/spread/confirmation.go",
		" &&\n		c.RewriteRemaining(now) == 0", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"entries missing in a restored backup stay doubtful only as long as after an outage", "internal/gateway/store_copy.go",
		"		longest = max(longest, now+c.records.RewriteRemaining(now).Duration())\n", "",
		"./internal/gateway", "TestDoubtLastsUntilRewritten",
	},
	{
		"entries of departed back ends are trusted at once after a restore", "internal/gateway/store_changes.go",
		"	g.replicas.DistrustDeparted(now + g.settings.Load().StoreCopy.DistrustDepartedFor)\n", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"an entry without the draining state ends a drain", "internal/replica/set.go",
		"	entry.Draining = entry.Draining || known.Draining\n", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"a zone whose evacuation is missing in a restored backup is used again at once", "internal/gateway/store_copy.go",
		"if remaining := c.records.RewriteRemaining(now); remaining > 0 {", "if remaining := c.records.RewriteRemaining(now); remaining > 0 && now < 0 {",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"a zone whose evacuation is not written again after a restore is never used again", "internal/gateway/maintain.go",
		"	g.endEvacuationsDue(g.now())\n", "",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"starting nodes do not get a configuration that is missing in a restored backup", "internal/gateway/store_copy.go",
		"	if lost {\n		c.records.Retain(c.configuration)", "	if lost && key == \"\" {\n		c.records.Retain(c.configuration)",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"starting nodes do not request a configuration from peers", "internal/spread/era.go",
		"	return []OutgoingMessage{{peer, &message.StoreRequest{}}}\n", "	return nil\n",
		"./platform", "TestChangesLostWithBackup",
	},
	{
		"a node requests a configuration that it rejects again and again", "internal/spread/era.go",
		"if c.retainedRequests >= maximumRetainedRequests {", "if false {",
		"./internal/spread", "TestRetainedConfiguration",
	},
	{
		"a quarantine that is missing in a restored backup ends", "internal/gateway/quarantine_evidence.go",
		"		g.quarantine.RecordStoreLoss(fingerprint)\n		return\n", "",
		"./internal/gateway", "TestQuarantineMissingFromRestoredStore",
	},
	{
		"a lifted quarantine is reinstated by a restored backup", "internal/gateway/quarantine_evidence.go",
		"g.storeCopy.records.RewriteRemaining(at) > 0 && g.quarantine.Lifted(fingerprint)", "false",
		"./internal/gateway", "TestLiftedQuarantineInRestoredStore",
	},
	{
		"claims of quarantine retrials are not written again after a restore", "internal/gateway/store_changes.go",
		"	g.quarantineWrites.scheduleClaimRewrites()\n", "",
		"./internal/gateway", "TestRetrialMissingFromRestoredStore",
	},
	{
		"a retrial is claimed before earlier claims are written again after a restore", "internal/gateway/quarantine_writes.go",
		"if g.storeCopy.records.RewriteRemaining(g.now()) > 0 {", "if false {",
		"./internal/gateway", "TestRetrialMissingFromRestoredStore",
	},
	{
		"a lease of an earlier era is relied on", "platform/storewrite.go",
		"return a == b || a != nil && b != nil && *a == *b", "return a == b || a != nil || b != nil",
		"./platform", "TestWritesAcrossEras",
	},
	{
		"a restore is not detected for a store that reports no era", "internal/history/history.go",
		"	if number < r.Number {", "	if false {",
		"./platform", "TestStoreWithoutEra",
	},
	{
		"documents of another era continue the version numbers of the era before", "internal/catalog/document.go",
		"version := max(d.Version, era*versionsPerEra) + 1", "version := max(d.Version, era) + 1",
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
		"an era that cannot be parsed is accepted", "platform/store.go",
		"	era, err := strconv.ParseUint(text, 10, 64)\n	if err != nil {", "	era, err := strconv.ParseUint(text, 10, 64)\n	if false && err != nil {",
		"./platform", "TestEraHeader",
	},
}
