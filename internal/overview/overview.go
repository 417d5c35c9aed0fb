// Package overview tells operators what some nodes believe, side by side, from their metrics: which configuration and which moment of the store each goes by,
// and what it knows of back ends and zones. It reads metrics that telemetry served; it asks nobody itself and keeps nothing.
package overview

import (
	"fmt"
	"io"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
)

// Node is what one node believes.
type Node struct {
	Address string `json:"address"`
	Ready   bool   `json:"ready"`
	// Version of the configuration in force, 0 without one.
	Version uint64 `json:"version"`
	// Era and Revision of the store up to which the node knows all changes; CopyAge is how long ago its copy was last known to be complete,
	// negative if it never was.
	Era      uint64   `json:"era"`
	Revision uint64   `json:"revision"`
	CopyAge  clock.Ms `json:"copy_age_ms"`
	// Nodes that it knows, itself included; 0 while it has not joined the others.
	Nodes int `json:"nodes"`
	// BackEnds by state, those without any left out.
	BackEnds       map[string]int `json:"back_ends"`
	EvacuatedZones int            `json:"evacuated_zones"`
	Quarantined    int            `json:"quarantined"`
	// Problem says why the node could not be asked; nothing else is known then.
	Problem string `json:"problem,omitempty"`
}

// Names of the metrics that are read.
const (
	metricVersion = "stiletrail_configuration_version"
	metricBackEnd = "stiletrail_back_ends"
)

// Read reads the metrics of a node. The failure is of code MALFORMED where they cannot be read, or are of something else.
func Read(address string, metrics io.Reader) (Node, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(metrics)
	if err != nil {
		return Node{}, failure.Wrap(err, failure.Malformed, "the metrics of "+address+" cannot be read")
	}
	if families[metricVersion] == nil {
		return Node{}, failure.New(failure.Malformed, "the metrics of "+address+" are not those of a node")
	}
	value := func(name string) float64 { return valueOf(families[name]) }
	node := Node{
		Address: address, Ready: value("stiletrail_ready") == 1, Version: uint64(value(metricVersion)),
		Era: uint64(value("stiletrail_store_era")), Revision: uint64(value("stiletrail_store_revision")),
		CopyAge: clock.Ms(value("stiletrail_copy_age_seconds") * float64(clock.Second)), Nodes: int(value("stiletrail_nodes")),
		BackEnds: map[string]int{}, EvacuatedZones: int(value("stiletrail_zones_evacuated")), Quarantined: int(value("stiletrail_requests_quarantined")),
	}
	for _, metric := range families[metricBackEnd].GetMetric() {
		for _, label := range metric.GetLabel() {
			if count := int(numberOf(metric)); label.GetName() == "state" && count > 0 {
				node.BackEnds[label.GetValue()] = count
			}
		}
	}
	return node, nil
}

func valueOf(family *dto.MetricFamily) float64 {
	for _, metric := range family.GetMetric() {
		return numberOf(metric)
	}
	return 0
}

// numberOf is the value of a metric that has one, whatever kind it is written as.
func numberOf(metric *dto.Metric) float64 {
	return metric.GetUntyped().GetValue() + metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
}

// Differences says in what the nodes that were asked do not agree, a line for each matter. For some seconds that is how news spreads; for longer a node misses
// something.
func Differences(nodes []Node) []string {
	lines := []string{}
	for _, matter := range []struct {
		name string
		of   func(Node) string
	}{
		{"configuration in force", func(n Node) string { return fmt.Sprint("version ", n.Version) }},
		{"the store", func(n Node) string { return fmt.Sprint("era ", n.Era) }},
		{"evacuated zones", func(n Node) string { return fmt.Sprint(n.EvacuatedZones) }},
		{"requests under quarantine", func(n Node) string { return fmt.Sprint(n.Quarantined) }},
	} {
		if line, differ := compare(nodes, matter.of); differ {
			lines = append(lines, matter.name+": "+line)
		}
	}
	return lines
}

func compare(nodes []Node, of func(Node) string) (line string, differ bool) {
	by := map[string][]string{}
	var values []string
	for _, node := range nodes {
		if node.Problem != "" {
			continue
		}
		value := of(node)
		if by[value] == nil {
			values = append(values, value)
		}
		by[value] = append(by[value], node.Address)
	}
	slices.Sort(values)
	var parts []string
	for _, value := range values {
		parts = append(parts, value+" on "+strings.Join(by[value], ", "))
	}
	return strings.Join(parts, "; "), len(values) > 1
}
