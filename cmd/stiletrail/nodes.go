package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/failure"
	"stiletrail/internal/overview"
)

// nodesView is the JSON output of the nodes command.
type nodesView struct {
	Nodes       []overview.Node `json:"nodes"`
	Differences []string        `json:"differences"`
}

// addNodes adds the command that compares nodes by their metrics.
func addNodes(app *kingpin.Application, commands map[string]command) {
	c := app.Command("nodes", "Compare gateways by their metrics: configuration, store, back ends, "+
		"evacuated zones. Exit 1 if the metrics of one cannot be read.\n\n"+
		"Example: stiletrail nodes 10.0.0.1:7440 10.0.0.2:7440")
	addresses := c.Arg("addresses", "Metrics addresses of the nodes.").Required().Strings()
	commands[c.FullCommand()] = func(shared *client) (int, error) {
		ctx, cancel := shared.context()
		defer cancel()
		view := nodesView{Nodes: fetchNodes(ctx, *addresses)}
		view.Differences = overview.Differences(view.Nodes)
		shared.print(view, func() { printNodes(view) })
		for _, node := range view.Nodes {
			if node.Problem != "" {
				return exitFailed, nil
			}
		}
		return exitOK, nil
	}
}

// fetchNodes reads the metrics of all nodes concurrently.
func fetchNodes(ctx context.Context, addresses []string) []overview.Node {
	nodes := make([]overview.Node, len(addresses))
	var fetches sync.WaitGroup
	for i, address := range addresses {
		fetches.Go(func() {
			node, err := fetchNode(ctx, address)
			if err != nil {
				node = overview.Node{Address: address, Problem: err.Error()}
			}
			nodes[i] = node
		})
	}
	fetches.Wait()
	return nodes
}

// fetchNode reads the metrics of one node.
func fetchNode(ctx context.Context, address string) (overview.Node, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return overview.Node{}, failure.Wrap(err, failure.InvalidArgument, "invalid metrics address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return overview.Node{}, failure.Wrap(err, failure.NotReady, "the node did not answer")
	}
	defer func() { _ = response.Body.Close() }()
	return overview.Read(address, response.Body)
}

func printNodes(view nodesView) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "node\tready\tversion\tera\trevision\tcopy age\tnodes\tback ends\tevacuated zones\tquarantined")
	for _, n := range view.Nodes {
		if n.Problem != "" {
			fmt.Fprintf(table, "%s\t%s\n", n.Address, n.Problem)
			continue
		}
		fmt.Fprintf(table, "%s\t%t\t%d\t%d\t%d\t%d ms\t%d\t%s\t%d\t%d\n",
			n.Address, n.Ready, n.Version, n.Era, n.Revision, n.CopyAge, n.Nodes, statesOf(n), n.EvacuatedZones, n.Quarantined)
	}
	_ = table.Flush()
	for _, line := range view.Differences {
		fmt.Println("differ in", line)
	}
}

// statesOf returns the numbers of back ends of a node by state, as text.
func statesOf(n overview.Node) string {
	var parts []string
	for _, state := range []string{"ready", "cold", "ejected", "doubtful", "draining", "evacuated"} {
		if count := n.BackEnds[state]; count > 0 {
			parts = append(parts, fmt.Sprint(count, " ", state))
		}
	}
	return strings.Join(parts, ", ")
}
