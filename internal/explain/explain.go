// Package explain finds in the logs of some nodes what decided the fate of one request. It reads lines that decisionlog
// wrote, of any release, and keeps nothing.
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

// longestLine of a log, in bytes.
const longestLine = 1 << 20

// line is a log line as far as it matters here.
type line struct {
	Time    string `json:"time"`
	Event   string `json:"event"`
	Node    string `json:"node"`
	Request string `json:"request"`
	Route   string `json:"route"`
	// Version of the configuration.
	Version  uint64   `json:"version"`
	Revision uint64   `json:"revision"`
	Era      uint64   `json:"era"`
	Outcome  string   `json:"outcome"`
	Reason   string   `json:"reason"`
	BackEnd  string   `json:"back_end"`
	Service  string   `json:"service"`
	Zone     string   `json:"zone"`
	Attempts []string `json:"attempts"`
	Missing  int      `json:"missing"`
	Total    int      `json:"total"`
	Elapsed  int64    `json:"elapsed_ms"`
	Age      int64    `json:"age_ms"`
	Items    int      `json:"items"`
	Mark     string   `json:"mark"`
	Caller   string   `json:"caller"`
	Ran      int64    `json:"ran_ms"`
}

// Report is what the logs tell of a request, in the order in which it happened.
type Report struct {
	// Lines are ready to be printed.
	Lines []string
}

// Request reads logs, one JSON line each, whatever stands before the brace, and reports on a request. It fails with
// INVALID_ARGUMENT if no log knows the request.
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
			report.Lines = append(report.Lines, background(all[:i], &all[i])...)
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
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var parsed line
		// A line that is cut off, or of another program, says nothing here.
		if json.Unmarshal([]byte(text[brace:]), &parsed) == nil && parsed.Event != "" {
			lines = append(lines, parsed)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Wrap(err, failure.InvalidArgument, "a log cannot be read")
	}
	return lines, nil
}

// background is what the node of a request believed when it decided: the last line of each matter before the request.
// What it believed in an earlier life is left out, but for how it stood with the store.
func background(before []line, request *line) []string {
	last := map[string]*line{}
	var order []string
	for i := range before {
		known := &before[i]
		matter := matterOf(known, request)
		if known.Node != request.Node || matter == "" {
			continue
		}
		if known.Event == decisionlog.EventStart {
			order = slices.DeleteFunc(order, func(earlier string) bool { return earlier != matterStore })
			maps.DeleteFunc(last, func(earlier string, _ *line) bool { return earlier != matterStore })
		}
		if last[matter] == nil {
			order = append(order, matter)
		}
		last[matter] = known
	}
	sort.SliceStable(order, func(i, j int) bool { return last[order[i]].Time < last[order[j]].Time })
	var lines []string
	for _, matter := range order {
		lines = append(lines, "believed  "+describe(last[matter]))
	}
	return lines
}

// matterStore is how a node stands with the store.
const matterStore = "store"

// matterCopy is that of lines on how old the copy of the store is.
const matterCopy = "copy"

// answered stands in the text of an attempt that was answered, before what the back end told of its load.
const answered = " answered"

// matterOf names what a line is about, where it bears on the request.
func matterOf(known, request *line) string {
	switch known.Event {
	case decisionlog.EventStart, decisionlog.EventStop, decisionlog.EventMembersChanged:
		return known.Event
	case decisionlog.EventStoreLost, decisionlog.EventStoreRegained:
		return matterStore
	case decisionlog.EventCopyStale, decisionlog.EventCopyFresh:
		return matterCopy
	case decisionlog.EventStoreListed, decisionlog.EventStoreRestored:
		return known.Event
	case decisionlog.EventVerdictChanged:
		if known.Mark != "" && known.Mark == request.Mark {
			return known.Event
		}
	case decisionlog.EventConfigurationApplied:
		return "configuration"
	case decisionlog.EventZoneEvacuated, decisionlog.EventZoneEvacuationEnded:
		return "zone " + known.Zone
	case decisionlog.EventBackEndUpdated, decisionlog.EventBackEndVanished, decisionlog.EventBackEndEjected, decisionlog.EventBackEndCrashed:
		for _, attempt := range request.Attempts {
			// What is believed of a back end that answered explains nothing.
			if known.BackEnd != "" && strings.Contains(attempt, " "+known.BackEnd+" ") && !strings.Contains(attempt, answered) {
				return known.Event + " " + known.BackEnd
			}
		}
	}
	return ""
}

func describe(known *line) string {
	parts := []string{known.Time, known.Node, known.Event}
	add := func(name string, value any, given bool) {
		if given {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("version", known.Version, known.Version > 0)
	add("revision", known.Revision, known.Revision > 0)
	add("era", known.Era, known.Era > 0)
	add("service", known.Service, known.Service != "")
	add("zone", known.Zone, known.Zone != "")
	add("back_end", known.BackEnd, known.BackEnd != "")
	add("outcome", known.Outcome, known.Outcome != "")
	add("reason", known.Reason, known.Reason != "")
	add("items", known.Items, known.Items > 0)
	add("age_ms", known.Age, known.Age != 0)
	add("mark", known.Mark, known.Mark != "")
	add("ran_ms", known.Ran, known.Ran != 0)
	return strings.Join(parts, " ")
}

// decisions lists what was decided about the request, its attempts in the order of their start.
func decisions(request *line) []string {
	head := fmt.Sprintf("request   %s %s route=%s version=%d", request.Time, request.Node, request.Route, request.Version)
	if request.Mark != "" {
		head += fmt.Sprintf(" mark=%s caller=%s", request.Mark, request.Caller)
	}
	lines := []string{head}
	for _, attempt := range request.Attempts {
		lines = append(lines, "attempt   "+attempt)
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
