// Package overview compares the state of nodes for operators: which configuration and which revision of the store each
// node has, and what it knows of back ends and zones. It reads metrics that package telemetry has served. It sends no
// requests itself and keeps no state.
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

// Node is the state of one node.
type Node struct {
	Address string `json:"address"`
	Ready   bool   `json:"ready"`
	// Version is the version of the configuration in force, 0 without one.
	Version uint64 `json:"version"`
	// Era and Revision are those up to which the node knows all changes of the store. CopyAge is the time since its
	// copy of the store was last known to be complete. It is negative if the copy never was.
	Era      uint64   `json:"era"`
	Revision uint64   `json:"revision"`
	CopyAge  clock.Ms `json:"copy_age_ms"`
	// Nodes is the number of nodes that the node knows, itself included. It is 0 until the node has joined the others.
	Nodes int `json:"nodes"`
	// BackEnds is the number of back ends in each state. States without back ends are left out.
	BackEnds       map[string]int `json:"back_ends"`
	EvacuatedZones int            `json:"evacuated_zones"`
	Quarantined    int            `json:"quarantined"`
	// Problem says why the metrics of the node could not be read. All other fields except Address are unset then.
	Problem string `json:"problem,omitempty"`
}

// Names of some of the metrics that are read.
const (
	metricVersion = "stiletrail_configuration_version"
	metricBackEnd = "stiletrail_back_ends"
)

// Read reads the metrics of a node. It fails with MALFORMED if they cannot be parsed or are not those of a gateway.
func Read(address string, metrics io.Reader) (Node, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(metrics)
	if err != nil {
		return Node{}, failure.Wrap(err, failure.Malformed, "the metrics of "+address+" cannot be parsed")
	}
	if families[metricVersion] == nil {
		return Node{}, failure.New(failure.Malformed, "the metrics of "+address+" are not those of a gateway")
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

// valueOf returns the value of the first metric of a family, or 0 without one.
func valueOf(family *dto.MetricFamily) float64 {
	for _, metric := range family.GetMetric() {
		return numberOf(metric)
	}
	return 0
}

// numberOf returns the value of a gauge, a counter or a metric without a type.
func numberOf(metric *dto.Metric) float64 {
	return metric.GetUntyped().GetValue() + metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
}

// Differences returns a line for each property in which the nodes differ, with the values and the nodes that have them.
// Nodes with a Problem are left out. Differences of a few seconds are normal, since changes take that long to reach all
// nodes. If one lasts longer, a node has missed a change.
func Differences(nodes []Node) []string {
	lines := []string{}
	for _, property := range []struct {
		name  string
		value func(Node) string
	}{
		{"configuration in force", func(n Node) string { return fmt.Sprint("version ", n.Version) }},
		{"the store", func(n Node) string { return fmt.Sprint("era ", n.Era) }},
		{"evacuated zones", func(n Node) string { return fmt.Sprint(n.EvacuatedZones) }},
		{"requests under quarantine", func(n Node) string { return fmt.Sprint(n.Quarantined) }},
	} {
		if line, differ := compare(nodes, property.value); differ {
			lines = append(lines, property.name+": "+line)
		}
	}
	return lines
}

// compare groups the nodes by a value. It returns the values with their nodes, and whether there is more than one
// value.
func compare(nodes []Node, valueOf func(Node) string) (line string, differ bool) {
	addresses := map[string][]string{}
	var values []string
	for _, node := range nodes {
		if node.Problem != "" {
			continue
		}
		value := valueOf(node)
		if addresses[value] == nil {
			values = append(values, value)
		}
		addresses[value] = append(addresses[value], node.Address)
	}
	slices.Sort(values)
	var parts []string
	for _, value := range values {
		parts = append(parts, value+" on "+strings.Join(addresses[value], ", "))
	}
	return strings.Join(parts, "; "), len(values) > 1
}
