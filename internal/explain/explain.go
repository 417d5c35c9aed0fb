// Package explain reports from the logs of nodes how one request was handled: what the node of the request knew at the
// time and what it decided. It reads the lines that package decisionlog of any release has written. It keeps no state.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"

	"stiletrail/internal/decisionlog"
	"stiletrail/internal/failure"
)

// maximumLineLength is the length of the longest log line that can be read, in bytes.
const maximumLineLength = 1 << 20

// line has the fields of a log line that a report may use.
type line struct {
	Time    string `json:"time"`
	Event   string `json:"event"`
	Node    string `json:"node"`
	Request string `json:"request"`
	Route   string `json:"route"`
	// Version is the version of the configuration.
	Version     uint64   `json:"version"`
	Revision    uint64   `json:"revision"`
	Era         uint64   `json:"era"`
	Outcome     string   `json:"outcome"`
	Reason      string   `json:"reason"`
	BackEnd     string   `json:"back_end"`
	Service     string   `json:"service"`
	Zone        string   `json:"zone"`
	Attempts    []string `json:"attempts"`
	Missing     int      `json:"missing"`
	Total       int      `json:"total"`
	Elapsed     int64    `json:"elapsed_ms"`
	Age         int64    `json:"age_ms"`
	Items       int      `json:"items"`
	Fingerprint string   `json:"mark"`
	Caller      string   `json:"caller"`
	Tenant      string   `json:"tenant"`
	RunTime     int64    `json:"ran_ms"`
	// QuotaAllowed is the limit of the tenant in a window. It is nil for requests that were not refused for it.
	QuotaAllowed *float64 `json:"quota_allowed"`
	QuotaInUse   int      `json:"quota_in_use"`
	QuotaAge     int64    `json:"quota_age_ms"`
	QuotaBelow   bool     `json:"quota_below"`
	QuotaWaited  int64    `json:"quota_waited_ms"`
}

// Report describes how a request was handled, in the order of time.
type Report struct {
	// Lines are the printable lines of the report.
	Lines []string
}

// Request reads logs and reports on a request. A log has one JSON object per line; text before the object is skipped.
// It fails with INVALID_ARGUMENT if no log has a line about the request.
func Request(id string, logs []io.Reader) (Report, error) {
	var all []line
	for _, log := range logs {
		read, err := parse(log)
		if err != nil {
			return Report{}, err
		}
		all = append(all, read...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
	var report Report
	for i := range all {
		if all[i].Event == decisionlog.EventRequest && all[i].Request == id {
			report.Lines = append(report.Lines, priorState(all[:i], &all[i])...)
			report.Lines = append(report.Lines, decisions(&all[i])...)
		}
	}
	if report.Lines == nil {
		return report, failure.New(failure.InvalidArgument, "no log has a line of request "+id+
			"; ordinary successes are sampled, and lines beyond the rate are dropped (stiletrail_log_lines_dropped_total)")
	}
	return report, nil
}

func parse(log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maximumLineLength)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var parsed line
		// Truncated lines and lines of other programs are skipped.
		if json.Unmarshal([]byte(text[brace:]), &parsed) == nil && parsed.Event != "" {
			lines = append(lines, parsed)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Wrap(err, failure.InvalidArgument, "cannot read a log")
	}
	return lines, nil
}

// priorState returns what the node of a request knew when the request arrived: the last line about each topic before
// that of the request. Lines of an earlier process of the node are left out, except the last one about the reachability
// of the store.
func priorState(before []line, request *line) []string {
	last := map[string]*line{}
	var order []string
	for i := range before {
		event := &before[i]
		topic := topicOf(event, request)
		if event.Node != request.Node || topic == "" {
			continue
		}
		if event.Event == decisionlog.EventStart {
			order = slices.DeleteFunc(order, func(earlier string) bool { return earlier != topicStore })
			maps.DeleteFunc(last, func(earlier string, _ *line) bool { return earlier != topicStore })
		}
		if last[topic] == nil {
			order = append(order, topic)
		}
		last[topic] = event
	}
	sort.SliceStable(order, func(i, j int) bool { return last[order[i]].Time < last[order[j]].Time })
	var lines []string
	for _, topic := range order {
		lines = append(lines, "believed  "+describe(last[topic]))
	}
	return lines
}

// topicStore is the topic of lines that say whether the store answers the node.
const topicStore = "store"

// topicCopy is the topic of lines that say whether the node's copy of the store is stale.
const topicCopy = "copy"

// answeredOutcome is the part of the text of an attempt that says that the attempt was answered. The load that the back
// end reported may follow.
const answeredOutcome = " answered"

// topicOf returns the topic of a line, such as the configuration or a zone. It returns "" if the line does not explain
// the request.
func topicOf(event, request *line) string {
	switch event.Event {
	case decisionlog.EventStart, decisionlog.EventStop, decisionlog.EventMembersChanged:
		return event.Event
	case decisionlog.EventStoreLost, decisionlog.EventStoreRegained:
		return topicStore
	case decisionlog.EventCopyStale, decisionlog.EventCopyFresh:
		return topicCopy
	case decisionlog.EventStoreListed, decisionlog.EventStoreRestored:
		return event.Event
	case decisionlog.EventVerdictChanged:
		if event.Fingerprint != "" && event.Fingerprint == request.Fingerprint {
			return event.Event
		}
	case decisionlog.EventConfigurationApplied:
		return "configuration"
	case decisionlog.EventZoneEvacuated, decisionlog.EventZoneEvacuationEnded:
		return "zone " + event.Zone
	case decisionlog.EventBackEndUpdated, decisionlog.EventBackEndVanished, decisionlog.EventBackEndEjected, decisionlog.EventBackEndCrashed:
		for _, attempt := range request.Attempts {
			// Lines about a back end that answered do not explain the request.
			if event.BackEnd != "" && strings.Contains(attempt, " "+event.BackEnd+" ") && !strings.Contains(attempt, answeredOutcome) {
				return event.Event + " " + event.BackEnd
			}
		}
	}
	return ""
}

// describe returns a line as text, with the fields that are set.
func describe(event *line) string {
	parts := []string{event.Time, event.Node, event.Event}
	add := func(name string, value any, isSet bool) {
		if isSet {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("version", event.Version, event.Version > 0)
	add("revision", event.Revision, event.Revision > 0)
	add("era", event.Era, event.Era > 0)
	add("service", event.Service, event.Service != "")
	add("zone", event.Zone, event.Zone != "")
	add("back_end", event.BackEnd, event.BackEnd != "")
	add("outcome", event.Outcome, event.Outcome != "")
	add("reason", event.Reason, event.Reason != "")
	add("items", event.Items, event.Items > 0)
	add("age_ms", event.Age, event.Age != 0)
	add("mark", event.Fingerprint, event.Fingerprint != "")
	add("ran_ms", event.RunTime, event.RunTime != 0)
	return strings.Join(parts, " ")
}

// decisions returns the lines of a report on the request itself: the request, its attempts in the order of their start,
// and the answer.
func decisions(request *line) []string {
	head := fmt.Sprintf("request   %s %s route=%s version=%d", request.Time, request.Node, request.Route, request.Version)
	if request.Fingerprint != "" {
		head += fmt.Sprintf(" mark=%s caller=%s", request.Fingerprint, request.Caller)
	}
	if request.Tenant != "" {
		head += " tenant=" + request.Tenant
	}
	lines := []string{head}
	for _, attempt := range request.Attempts {
		lines = append(lines, "attempt   "+attempt)
	}
	if request.QuotaAllowed != nil {
		lines = append(lines, describeQuota(request))
	}
	end := fmt.Sprintf("answered  %s after %d ms", request.Outcome, request.Elapsed)
	if request.Reason != "" {
		end += ", because: " + request.Reason
	}
	if request.Total > 0 {
		end += fmt.Sprintf("; %d of %d shards missing", request.Missing, request.Total)
	}
	return append(lines, end)
}

// describeQuota returns what the node knew of the limit of the request's tenant when it refused the request.
func describeQuota(request *line) string {
	if request.Reason == "quota_unanswered" {
		return fmt.Sprintf("quota     no accountant said in time whether the limit of %g is used up, waited %d ms", *request.QuotaAllowed, request.QuotaWaited)
	}
	side := "above"
	if request.QuotaBelow {
		side = "below"
	}
	return fmt.Sprintf("quota     %s the limit as far as known: %d used or lent of %g, told %d ms ago, waited %d ms",
		side, request.QuotaInUse, *request.QuotaAllowed, request.QuotaAge, request.QuotaWaited)
}
