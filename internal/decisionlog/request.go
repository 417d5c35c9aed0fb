package decisionlog

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// Request writes one line with all decisions about a request. An ordinary success is a complete answer without extra
// attempts whose caller stayed connected; of those only a sample is written. The number of lines per second is limited.
func (l *Log) Request(call *gateway.Call, result *gateway.Result) {
	ordinary := result.Failure == nil && result.MissingShards == 0 && !result.CallerGone && !hasExtraAttempt(result.Attempts)
	if ordinary && !l.successes.sampled() {
		return
	}
	if !l.rate.allow(time.Now()) {
		return
	}
	fields := logrus.Fields{
		fieldRequest: call.ID, fieldVersion: result.Version, fieldElapsed: result.Elapsed.Milliseconds(),
		fieldReason: string(result.Reason), fieldOutcome: result.Outcome(), fieldCopyAge: result.CopyAge,
		fieldFingerprint: call.Identity.Request.String(), fieldCaller: call.Caller,
	}
	if result.Route != nil {
		fields[fieldRoute] = result.Route.Name
	}
	if known := result.Copy; known != nil {
		fields[fieldRevision], fields[fieldEra] = known.Revision.Number, known.Revision.Era
		fields[fieldConfirmedBy], fields[fieldBehind] = known.ConfirmedBy, known.Behind
	}
	if call.Tenant != nil {
		fields[fieldTenant] = call.Tenant.Name
	}
	if unread := result.UnreadFor.Milliseconds(); unread > 0 {
		fields[fieldUnreadTime] = unread
	}
	if result.TotalShards > 0 {
		fields[fieldTotal] = result.TotalShards
		fields[fieldMissing] = result.MissingShards
	}
	if result.Reason == forward.TurnedAway {
		fields[fieldMissingShare] = percent(result.Overload.MissingShare)
		fields[fieldShedShare] = percent(result.Overload.ShedShare)
		fields[fieldTurnedAwayShare] = percent(result.Overload.TurnedAwayShare)
	}
	if decision := result.Quota; decision != nil {
		addQuota(fields, decision)
	}
	if result.Prioritized {
		fields[fieldRank] = result.Rank
	}
	if waited := result.Waited.Milliseconds(); waited > 0 {
		fields[fieldWaited] = waited
	}
	if !ordinary {
		fields[fieldAttempts] = describe(result)
	}
	if result.TimeLimit > 0 {
		fields[fieldTimeLimit] = result.TimeLimit.Milliseconds()
	}
	if !ordinary && result.Unasked != nil {
		if unasked := describeUnasked(result.Unasked()); len(unasked) > 0 {
			fields[fieldUnasked] = unasked
		}
	}
	l.info(EventRequest, fields)
}

// addQuota adds why a request was refused because of its tenant's limit.
func addQuota(fields logrus.Fields, decision *gateway.QuotaDecision) {
	fields[fieldQuotaAllowed] = decision.Allowed
	fields[fieldQuotaWaited] = decision.Waited
	if !decision.Answered {
		return
	}
	fields[fieldQuotaInUse] = decision.InUse
	fields[fieldQuotaAge] = decision.Age
	fields[fieldQuotaBelow] = decision.Below
}

// percent returns a share as a whole percentage.
func percent(share float64) int { return int(math.Round(100 * share)) }

func hasExtraAttempt(attempts []*forward.Attempt) bool {
	for _, attempt := range attempts {
		if attempt.Purpose != forward.First {
			return true
		}
	}
	return false
}

// describe returns a text for each attempt: service, back end, purpose, start and end in milliseconds since the arrival
// of the request, and outcome.
func describe(result *gateway.Result) []string {
	lines := make([]string, 0, len(result.Attempts))
	for _, attempt := range result.Attempts {
		var line strings.Builder
		fmt.Fprintf(&line, "%s %s %s %d-", attempt.Service, attempt.Replica.ID, attempt.Purpose,
			(attempt.StartedAt - result.Arrived).Milliseconds())
		if attempt.Outcome.Kind == 0 {
			line.WriteString(" open")
		} else {
			fmt.Fprintf(&line, "%d %s", (attempt.EndedAt - result.Arrived).Milliseconds(), attempt.Outcome.Kind)
		}
		if load := attempt.Outcome.Load; load.Reported {
			fmt.Fprintf(&line, " load %d+%d/%d x%.2f", load.Running, load.Waiting, load.Slots, load.Slowdown)
		}
		if attempt.Outcome.Detail != "" {
			line.WriteString(": " + attempt.Outcome.Detail)
		}
		if result.Denied != nil && attempt.Outcome.Kind != forward.Answered {
			if denied := result.Denied(attempt); denied != "" {
				line.WriteString(", extra attempt denied: " + string(denied) + describeNeed(result, attempt))
			}
		}
		lines = append(lines, line.String())
	}
	return lines
}

// describeNeed returns what the request lacked when an extra attempt at the shard of an attempt was denied for lack of
// budget, and an empty text if none was.
func describeNeed(result *gateway.Result, attempt *forward.Attempt) string {
	if result.NeedAtDenial == nil {
		return ""
	}
	need, denied := result.NeedAtDenial(attempt)
	if !denied {
		return ""
	}
	return fmt.Sprintf(" (%d shards missing, %d need an extra attempt, %d can get one)", need.Missing, need.Extras, need.Available)
}

// maximumShardsNamed is the largest number of shards that describeUnasked names for a reason. Further ones are only
// counted.
const maximumShardsNamed = 8

// describeUnasked returns a text for each reason for which shards got no attempt: the reason, the number of the shards,
// and the names of the first ones.
func describeUnasked(unasked []forward.UnaskedShard) (lines []string) {
	services := map[forward.DenialReason][]string{}
	for _, shard := range unasked {
		services[shard.Reason] = append(services[shard.Reason], shard.Service)
	}
	for _, denial := range slices.Sorted(maps.Keys(services)) {
		named := services[denial]
		reason := string(denial)
		if reason == "" {
			reason = "no_turn"
		}
		lines = append(lines, fmt.Sprintf("%s %d: %s", reason, len(named), strings.Join(named[:min(len(named), maximumShardsNamed)], " ")))
	}
	return lines
}
