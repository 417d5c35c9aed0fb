package test

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
)

// TestWholePath checks plan, confirm, status, search and execute through separate processes, and the exit codes of the command
// line.
func TestWholePath(t *testing.T) {
	d := deploy(t)
	d.awaitInForce(t, 1, d.applyIntent(t, 0, 2000), 3)
	for _, n := range d.nodes {
		eventually(t, "a search is complete", n.searchIsComplete)
	}
	minted, err := d.nodes[0].queryClient().MintTicket(context.Background(), connect.NewRequest(&stiletrailv1.MintTicketRequest{}))
	for limit := time.Now().Add(testTimeout); err != nil && time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		minted, err = d.nodes[0].queryClient().MintTicket(context.Background(), connect.NewRequest(&stiletrailv1.MintTicketRequest{}))
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range d.nodes {
		done, err := n.queryClient().Execute(context.Background(), connect.NewRequest(&stiletrailv1.ExecuteRequest{
			Service: "lookup", Key: "k", Body: []byte("once"), Ticket: minted.Msg.GetTicket(), DeadlineMilliseconds: 5000,
		}))
		if err != nil || string(done.Msg.GetResult()) != "once" {
			t.Errorf("execute with the same ticket through every node: error %v, want the result \"once\"", err)
		}
	}
	for _, c := range []struct {
		arguments []string
		code      int
	}{
		{[]string{"search", "lookup", "q"}, 0},
		{[]string{"search", "nothing"}, 4},
		{[]string{"status"}, 0},
		{[]string{"status", "--no-such-flag"}, 2},
		{[]string{"check-settings", "../examples/node-a1.yaml"}, 0},
		{[]string{"check-settings", "../examples/run.sh"}, 2},
	} {
		p := start(t, "stiletrail", append([]string{"--node", d.nodes[0].http}, c.arguments...)...)
		if code := p.exitCode(t); code != c.code {
			t.Errorf("stiletrail %v: exit code %d, want %d", c.arguments, code, c.code)
		}
	}
}

// TestNodeKilledAndReplaced checks that the other nodes continue to serve when a node is killed, and that a new process at its
// address becomes a member again.
func TestNodeKilledAndReplaced(t *testing.T) {
	d := deploy(t)
	d.awaitInForce(t, 0, d.applyIntent(t, 0, 2000), 3)
	d.nodes[2].signal(t, syscall.SIGKILL)
	d.nodes[2].exitCode(t)
	for _, n := range d.nodes[:2] {
		eventually(t, "a search is complete without the killed node", n.searchIsComplete)
	}
	d.startNode(t, 2)
	eventually(t, "the replaced node is ready", d.nodes[2].ready)
	eventually(t, "a search at the replaced node is complete", d.nodes[2].searchIsComplete)
	d.awaitInForce(t, 2, 1, 3)
}

// TestNodeFrozen checks that a suspended node does not prevent changes and searches at the others, and that it gets the missed
// change when it resumes.
func TestNodeFrozen(t *testing.T) {
	d := deploy(t)
	d.awaitInForce(t, 0, d.applyIntent(t, 0, 2000), 3)
	d.nodes[1].signal(t, syscall.SIGSTOP)
	version := d.applyIntent(t, 0, 2001)
	d.awaitInForce(t, 2, version, 2)
	eventually(t, "a search is complete while a node is frozen", d.nodes[0].searchIsComplete)
	d.nodes[1].signal(t, syscall.SIGCONT)
	d.awaitInForce(t, 1, version, 3)
	eventually(t, "a search at the resumed node is complete", d.nodes[1].searchIsComplete)
}

// TestStoreStopped checks that searches are complete while the store's process is suspended, and that a change is accepted after it
// has resumed.
func TestStoreStopped(t *testing.T) {
	d := deploy(t)
	d.awaitInForce(t, 0, d.applyIntent(t, 0, 2000), 3)
	d.platform.signal(t, syscall.SIGSTOP)
	for _, n := range d.nodes {
		eventually(t, "a search is complete without the store", n.searchIsComplete)
	}
	d.platform.signal(t, syscall.SIGCONT)
	d.awaitInForce(t, 0, d.applyIntent(t, 0, 2001), 3)
}

// TestPlannedStopUnderLoad checks that a node stopped by SIGTERM fails no search in flight at the nodes. The queue wait is as long
// as the searches' deadline: on a machine too busy for eight callers without pauses, nodes with a shorter wait would refuse
// searches, with or without a stop.
func TestPlannedStopUnderLoad(t *testing.T) {
	d := deploy(t, "--queue-wait", "2s")
	d.awaitInForce(t, 0, d.applyIntent(t, 0, 2000), 3)
	for _, n := range d.nodes {
		eventually(t, "a search is complete", n.searchIsComplete)
	}
	var searches sync.WaitGroup
	stopped := make(chan struct{})
	var mutex sync.Mutex
	served, failed := 0, 0
	for number := range 8 {
		n := d.nodes[number%2]
		searches.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				answer, problem := n.search(context.Background())
				mutex.Lock()
				if problem != nil || answer.GetCoverage().GetShardsAnswered() < 4 {
					failed++
					t.Logf("node %s: %v %v", n.http, problem, answer.GetCoverage())
				} else {
					served++
				}
				mutex.Unlock()
			}
		})
	}
	enough := func(count int) func() bool {
		return func() bool {
			mutex.Lock()
			defer mutex.Unlock()
			return served >= count
		}
	}
	eventually(t, "load is served", enough(50))
	d.nodes[2].signal(t, syscall.SIGTERM)
	if code := d.nodes[2].exitCode(t); code != 0 {
		t.Errorf("exit code %d of the stopped node, want 0", code)
	}
	mutex.Lock()
	before := served
	mutex.Unlock()
	eventually(t, "load is served after the stop", enough(before+50))
	close(stopped)
	searches.Wait()
	if failed > 0 {
		t.Errorf("%d of %d searches failed or lost shards, want none", failed, served+failed)
	}
}

// TestMalformedPeerInput checks that a node closes a peer connection on which it receives malformed data and continues to serve.
func TestMalformedPeerInput(t *testing.T) {
	d := deploy(t)
	d.awaitInForce(t, 0, d.applyIntent(t, 0, 2000), 3)
	connection, err := net.Dial("tcp", d.nodes[0].peer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 4))); err != nil {
		t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := connection.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the node did not close the connection with malformed data: read error %v", err)
	}
	eventually(t, "a search is complete", d.nodes[0].searchIsComplete)
}

// TestBadSettingsExitBeforeAnyPortOpens checks that a node with invalid settings ends with exit code 2 and lists all problems.
func TestBadSettingsExitBeforeAnyPortOpens(t *testing.T) {
	command := exec.Command(filepath.Join(binaryDirectory, "stiletraild"), "--http-address", "nowhere", "--zone", "a b")
	output, _ := command.CombinedOutput()
	if command.ProcessState.ExitCode() != 2 {
		t.Errorf("exit code %d with invalid settings, want 2", command.ProcessState.ExitCode())
	}
	for _, want := range []string{"http_address", "zone", "peer_address", "platform_url"} {
		if !strings.Contains(string(output), want) {
			t.Errorf("the output does not name the invalid setting %s: %s", want, output)
		}
	}
}

// TestBadSettingsExitBeforePortsAreTried checks that no port is tried before all settings are checked: one that another program
// holds is not even reported.
func TestBadSettingsExitBeforePortsAreTried(t *testing.T) {
	held, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	address := held.Addr().String()
	command := exec.Command(filepath.Join(binaryDirectory, "stiletraild"),
		"--http-address", address, "--peer-address", address, "--platform-url", "http://"+address, "--zone", "a b")
	output, _ := command.CombinedOutput()
	if command.ProcessState.ExitCode() != 2 || !strings.Contains(string(output), "zone") {
		t.Errorf("exit code %d with an invalid zone, want 2 and the name of the setting: %s", command.ProcessState.ExitCode(), output)
	}
	if strings.Contains(string(output), "address already in use") {
		t.Errorf("a port was tried although a setting is invalid: %s", output)
	}
}
