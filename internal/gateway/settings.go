package gateway

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/follow"
	"stiletrail/internal/forward"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/settings"
	"stiletrail/internal/spread"
)

// Settings are the settings of a gateway.
type Settings struct {
	Forward    forward.Settings
	Replica    replica.Settings
	Topology   replica.Topology
	Follow     follow.Settings
	Spread     spread.Settings
	Quarantine quarantine.Settings
	StoreCopy  StoreCopySettings
	Fleet      FleetSettings
	Retries    RetrySettings
	Quotas     QuotaSettings
	// StartingHold is the longest time for which a request is held until the first listing of the store is read. For the
	// same time after that listing, a request is held until back ends whose entries have expired are back.
	StartingHold time.Duration
	// TurnAway makes the gateway reject a part of the requests, without sending them, while the back ends cannot answer
	// all of them within the target latency.
	TurnAway bool
	// Priorities makes the more urgent requests go first while there is too little room, where routes differ in priority
	// or there are tenants.
	Priorities bool
	// MaximumRequests is the largest number of requests in flight. Further ones are refused.
	MaximumRequests int
	// Seed initializes the generator of random choices.
	Seed uint64
}

// StoreCopySettings are the settings of the node's copy of the store.
type StoreCopySettings struct {
	// Propagation bounds how long a change of the store takes to reach this node.
	Propagation PropagationTimes
	// KeepDoubtfulFor is the longest time for which a back end is still used after its entry disappeared without proof
	// that the back end has left.
	KeepDoubtfulFor time.Duration
	// DistrustDepartedFor is the time after a restore of the store from a backup during which the store may still list
	// back ends that have departed.
	DistrustDepartedFor time.Duration
}

// FleetSettings are the settings of what the nodes do together.
type FleetSettings struct {
	// Watchers is the number of nodes of each region that watch the store and announce its changes to the other nodes of
	// the region. With 0 every node watches.
	Watchers int
	// WatchersTakeTurns makes the watchers poll the store one after the other. PeerCopies lets nodes send each other what
	// they have learned of the store.
	WatchersTakeTurns bool
	PeerCopies        bool
	// HealthReports makes the nodes report slow and faulty back ends to each other.
	HealthReports bool
	// SharedHealth makes the nodes add up their refused and failed attempts, to find the back ends at fault.
	SharedHealth bool
	// ShareConnections divides the connections that a back end accepts among the nodes. While many nodes have just started,
	// only one in StartupConnectionDivisor of them is divided.
	ShareConnections         bool
	StartupConnectionDivisor int
	// MaximumConnections is the largest number of connections of one node to a back end, even if few nodes are known.
	MaximumConnections int
}

// RetrySettings are the settings of the budgets for extra attempts (retries and hedges).
type RetrySettings struct {
	// Share is the largest part of a service's requests that may be extra attempts in any Window, over all nodes.
	Share  float64
	Window time.Duration
	// FleetSlack is the number of extra attempts that all nodes together may send in a window beyond the share.
	FleetSlack float64
	// LendSlack lets nodes lend each other a part of the slack.
	LendSlack bool
	// HedgeReserve is the part of the budget that hedges must leave for retries.
	HedgeReserve float64
}

// QuotaSettings are the settings of the limits of tenants.
type QuotaSettings struct {
	// Window is the window in which requests count against a limit.
	Window clock.Ms
	// Overage is the part of a limit, and Slack the number of requests, by which all nodes together may exceed it.
	Overage float64
	Slack   float64
}

// Values for requests that no operator needs to set.
const (
	// answerMargin is the part of the target latency that is reserved for the transfer of the answer to the caller.
	answerMargin = 12 * time.Millisecond
	// retryMargin is the part of the retry budget that is never used. It covers extra attempts that cannot be counted,
	// such as those before a restart of a node.
	retryMargin = 0.04
	// hedgeReserve is the part of the retry budget that hedges must leave for retries.
	hedgeReserve = 0.06
	// maximumConnections is the largest number of connections of one node to a back end, which is more than it can use.
	maximumConnections = 8
)

// Values for the store that no operator needs to set. Back ends renew their entries in the store once per interval.
const (
	// entryLifetimeIntervals is the number of intervals without the store after which an entry may have expired. An entry
	// expires after three intervals without a renewal, and one of them may have passed before the store went away.
	entryLifetimeIntervals = 2
	// rewriteWindow is the time after the return of a store, from an outage or a restored backup, within which its
	// clients have written again what it lacks. That takes them about two seconds.
	rewriteWindow = 2500 * clock.Ms(1)
	// departedIntervals is the number of intervals after its return within which all entries that nobody renews have
	// expired in a restored store.
	departedIntervals = 3
	// doubtIntervals is the number of intervals for which a back end is still used whose entry disappeared while the
	// store was unstable, so that the back end can write its entry again.
	doubtIntervals = 1.6
	// watchFraction is the longest wait of a watch, as a part of the time after which a copy of the store is stale. It
	// is below 1 since no other node replaces an answer that comes too late.
	watchFraction = 0.9
	// coalesceDelay is the pause after changes, and the time between the turns of two watchers.
	coalesceDelay = 900 * time.Millisecond
	// initialBackoff and maximumBackoff bound the pause after a failed call to the store. The pause doubles with each
	// failure.
	initialBackoff = 100 * time.Millisecond
	maximumBackoff = time.Second
	// initialTimeout and maximumTimeout bound the wait for an answer of the store. The wait doubles with each timeout.
	initialTimeout = 700 * time.Millisecond
	maximumTimeout = 4 * time.Second
)

// Values for the exchange of store copies between nodes that no operator needs to set.
const (
	// digestInterval is the pause between two digests to a random node. digestFanout is the number of nodes to which
	// changes are sent at once.
	digestInterval = time.Second
	digestFanout   = 3
	// tombstoneRetention is how long the deletion of a key is remembered.
	tombstoneRetention = time.Minute
)

// FromSettings converts the operator's settings to those of the gateway.
func FromSettings(s settings.Gateway) Settings {
	propagation := PropagationTimesWithin(clock.FromDuration(min(s.LeavingTime, s.ApplyWithin, s.EvacuateWithin)))
	return Settings{
		Forward:    forwardSettings(s),
		Replica:    replicaSettings(s),
		Topology:   replica.Topology{Node: s.Node, Zone: s.Zone, Regions: s.Regions},
		Follow:     followSettings(propagation),
		Spread:     spreadSettings(s, propagation),
		Quarantine: quarantine.Settings{Rounds: s.QuarantineRounds, Duration: clock.FromDuration(s.QuarantineFor)},
		StoreCopy: StoreCopySettings{
			Propagation: propagation, KeepDoubtfulFor: keepDoubtfulFor(s),
			DistrustDepartedFor: rewriteWindow.Duration() + departedIntervals*s.EntryInterval,
		},
		Fleet: FleetSettings{
			Watchers: s.Watchers, WatchersTakeTurns: s.StoreTurns, PeerCopies: s.PeerCopies, HealthReports: s.Reports,
			SharedHealth:     s.SharedHealth,
			ShareConnections: s.ShareConnections, StartupConnectionDivisor: s.YoungPart, MaximumConnections: maximumConnections,
		},
		Retries: RetrySettings{
			Share: s.RetryShare * (1 - retryMargin), Window: s.RetryWindow, FleetSlack: s.RetrySlack,
			LendSlack: s.LendRetrySlack, HedgeReserve: hedgeReserve,
		},
		Quotas:          QuotaSettings{Window: clock.FromDuration(s.QuotaWindow), Overage: s.QuotaExcessShare, Slack: s.QuotaExcess},
		StartingHold:    s.StartingHold,
		TurnAway:        s.TurnAway,
		Priorities:      s.Priorities,
		MaximumRequests: s.MaximumRequests,
		Seed:            rand.Uint64(),
	}
}

func forwardSettings(s settings.Gateway) forward.Settings {
	return forward.Settings{
		HedgeShare: s.HedgeShare, SiblingHedges: s.SiblingHedges, LastExtras: s.LastExtras,
		ExtrasByNeed: s.ExtrasByNeed && s.PeerAddress != "", EarlyFinish: s.EarlyFinish,
		RetryPause: s.RetryPace, AnswerMargin: answerMargin, SerialTrials: s.QuarantineRounds > 0, RetryAfter: s.EntryInterval / 2,
	}
}

func replicaSettings(s settings.Gateway) replica.Settings {
	return replica.Settings{
		Connections: s.Connections, OtherRegionPenalty: s.FarPrice, FaultPenalty: s.FaultPrice, UseSlowdown: s.GoByPace,
		SubsetSize: s.SubsetSize, LimitIdle: s.FewRest, Ejection: s.Ejection, VerifyConnections: s.ProveConnections,
		CancelledFactor: s.WithdrawnFactor,
	}
}

func followSettings(propagation PropagationTimes) follow.Settings {
	return follow.Settings{
		WatchDuration: clock.Ms(watchFraction * float64(propagation.StaleAfter)).Duration(),
		CoalesceDelay: coalesceDelay, InitialBackoff: initialBackoff, MaximumBackoff: maximumBackoff,
		InitialTimeout: initialTimeout, MaximumTimeout: maximumTimeout, PollTimeout: propagation.PollTimeout.Duration(),
	}
}

func spreadSettings(s settings.Gateway, propagation PropagationTimes) spread.Settings {
	return spread.Settings{
		Interval: digestInterval, Fanout: digestFanout, TombstoneRetention: tombstoneRetention,
		PeerRequestDelay: propagation.PeerRequestDelay.Duration(), AnswerTimeout: propagation.AnswerTimeout.Duration(),
		EntryLifetime: clock.FromDuration(entryLifetimeIntervals * s.EntryInterval), RewriteWindow: rewriteWindow,
	}
}

// keepDoubtfulFor returns how long a back end is still used whose entry disappeared while the store was unstable.
func keepDoubtfulFor(s settings.Gateway) time.Duration {
	if !s.Doubt {
		return 0
	}
	return time.Duration(doubtIntervals * float64(s.EntryInterval))
}
