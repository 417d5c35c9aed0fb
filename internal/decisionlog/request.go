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

// Request writes the line of a request: all decisions that touched it, folded. Ordinary successes are sampled; others are
// kept up to a rate.
func (l *Log) Request(call *gateway.Call, result *gateway.Result) {
	ordinary := result.Failure == nil && result.MissingShards == 0 && !result.CallerGone && !anyExtra(result.Attempts)
	if ordinary && !l.ordinal.sampled() {
		return
	}
	if !l.rate.allow(time.Now()) {
		return
	}
	fields := logrus.Fields{
		fieldRequest: call.ID, fieldVersion: result.Version, fieldElapsed: result.Elapsed.Milliseconds(),
		fieldReason: string(result.Reason), fieldOutcome: result.Outcome(), fieldCopyAge: result.CopyAge,
		fieldMark: call.Identity.Request.String(), fieldCaller: call.Caller,
	}
	if result.Route != nil {
		fields[fieldRoute] = result.Route.Name
	}
	if unread := result.UnreadFor.Milliseconds(); unread > 0 {
		fields[fieldUnread] = unread
	}
	if result.TotalShards > 0 {
		fields[fieldTotal] = result.TotalShards
		fields[fieldMissing] = result.MissingShards
	}
	if result.Reason == forward.TurnedAway {
		fields[fieldLacking] = percent(result.Overload.MissingShare)
		fields[fieldShed] = percent(result.Overload.ShedShare)
		fields[fieldShare] = percent(result.Overload.TurnedAwayShare)
	}
	if !ordinary {
		fields[fieldAttempts] = describe(result)
	}
	if result.TimeLimit > 0 {
		fields[fieldWithin] = result.TimeLimit.Milliseconds()
	}
	if !ordinary && result.Unasked != nil {
		if unasked := describeUnasked(result.Unasked()); len(unasked) > 0 {
			fields[fieldUnasked] = unasked
		}
	}
	l.info(EventRequest, fields)
}

// percent gives a share in whole hundredths.
func percent(share float64) int { return int(math.Round(100 * share)) }

func anyExtra(attempts []*forward.Attempt) bool {
	for _, attempt := range attempts {
		if attempt.Purpose != forward.First {
			return true
		}
	}
	return false
}

// describe lists attempts as service, back end, purpose, start and end in milliseconds from the request's arrival, outcome.
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
				line.WriteString(", extra attempt denied: " + string(denied))
			}
		}
		lines = append(lines, line.String())
	}
	return lines
}

// mostUnaskedNamed shards are named for each reason; the others are counted.
const mostUnaskedNamed = 8

// describeUnasked tells the shards without an attempt by reason: the reason, how many, and the first of them by name.
func describeUnasked(unasked []forward.UnaskedShard) (lines []string) {
	services := map[forward.DenialReason][]string{}
	for _, shard := range unasked {
		services[shard.Reason] = append(services[shard.Reason], shard.Service)
	}
	for _, why := range slices.Sorted(maps.Keys(services)) {
		named := services[why]
		reason := string(why)
		if reason == "" {
			reason = "no_turn"
		}
		lines = append(lines, fmt.Sprintf("%s %d: %s", reason, len(named), strings.Join(named[:min(len(named), mostUnaskedNamed)], " ")))
	}
	return lines
}
