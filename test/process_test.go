// Package test runs the programs as separate processes on loopback. What happens next is decided by what is observed, never
// by sleeping; every wait is bounded.
package test

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/api"
	"stiletrail/internal/failure"
	"stiletrail/internal/testio"
)

// patience bounds every wait; it is far above what any step needs.
const patience = 60 * time.Second

var binaries string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "stiletrail")
	if err != nil {
		panic(err)
	}
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+"/", "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a program that a test started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

func start(t *testing.T, program string, arguments ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(filepath.Join(binaries, program), arguments...), done: make(chan struct{})}
	log, err := os.Create(filepath.Join(t.TempDir(), program+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("%s %v:\n%s", program, arguments, text[max(0, len(text)-2000):])
		}
	})
	return p
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		t.Fatal("the process did not end")
	}
	return p.command.ProcessState.ExitCode()
}

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

type node struct {
	*process
	http, peer, zone string
}

func (n node) ready() bool {
	response, err := http.Get("http://" + n.http + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n node) callers() stiletrailv1connect.QueryServiceClient {
	return stiletrailv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+n.http)
}

func (n node) operators() stiletrailv1connect.OperatorServiceClient {
	return stiletrailv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.http)
}

func (n node) search(ctx context.Context) (*stiletrailv1.SearchResponse, *failure.Failure) {
	response, err := n.callers().Search(ctx, connect.NewRequest(&stiletrailv1.SearchRequest{Service: "lookup", Query: []byte("q")}))
	if err != nil {
		problem, _ := api.FromError(err)
		return nil, problem
	}
	return response.Msg, nil
}

func (n node) complete() bool {
	answer, problem := n.search(context.Background())
	return problem == nil && answer.GetCoverage().GetShardsAnswered() == 4 && answer.GetCoverage().GetShardsTotal() == 4
}

// deployment is the platform, four back ends and three nodes in three zones.
type deployment struct {
	platform    *process
	platformURL string
	backEnds    []*process
	nodes       []node
	intent      string
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	addresses := testio.FreeAddresses(t, 11)
	d := &deployment{platformURL: "http://" + addresses[0]}
	d.platform = start(t, "stiletrail-rehearsal", "platform", "--listen", addresses[0])
	d.intent = "service: lookup\npreference: coverage\nminimum_coverage: 0.25\ndeadline_milliseconds: 2000\nback_ends:\n"
	for i, address := range addresses[1:5] {
		d.backEnds = append(d.backEnds, start(t, "stiletrail-rehearsal", "backend", "--listen", address, "--service", "lookup",
			"--shards", fmt.Sprintf("%d,%d", i, (i+1)%4), "--shards-total", "4"))
		d.intent += fmt.Sprintf("  - {address: \"%s\", zone: zone-a, slots: 5, connections: 75}\n", address)
	}
	for i := range 3 {
		n := node{http: addresses[5+i], peer: addresses[8+i], zone: fmt.Sprintf("zone-%d", i)}
		d.nodes = append(d.nodes, n)
	}
	for i := range d.nodes {
		d.run(t, i)
	}
	for _, n := range d.nodes {
		eventually(t, "node is ready", n.ready)
	}
	return d
}

// run starts the process of a node.
func (d *deployment) run(t *testing.T, number int) {
	t.Helper()
	n := &d.nodes[number]
	var seeds []string
	for _, other := range d.nodes {
		seeds = append(seeds, other.peer)
	}
	n.process = start(t, "stiletraild", "--http-address", n.http, "--peer-address", n.peer, "--zone", n.zone,
		"--platform-url", d.platformURL, "--seeds", strings.Join(seeds, ","), "--probe-interval", "200ms", "--store-interval", "500ms")
}

// apply puts the intent into force everywhere with a deadline that tells changes apart.
func (d *deployment) apply(t *testing.T, through int, deadline int) uint64 {
	t.Helper()
	text := []byte(strings.Replace(d.intent, "deadline_milliseconds: 2000", fmt.Sprintf("deadline_milliseconds: %d", deadline), 1))
	operators := d.nodes[through].operators()
	plan, err := operators.Plan(context.Background(), connect.NewRequest(&stiletrailv1.PlanRequest{Intent: text}))
	if err != nil {
		t.Fatal(err)
	}
	confirmed, err := operators.Confirm(context.Background(), connect.NewRequest(&stiletrailv1.ConfirmRequest{
		Intent: text, BaseVersion: plan.Msg.GetBaseVersion(), Digest: plan.Msg.GetDigest(),
		ExpiresUnixSeconds: plan.Msg.GetExpiresUnixSeconds(), Operation: fmt.Sprint("op-", deadline),
	}))
	if err != nil {
		t.Fatal(err)
	}
	return confirmed.Msg.GetVersion()
}

func (d *deployment) inForce(t *testing.T, through int, version uint64, on uint32) {
	t.Helper()
	eventually(t, "version is in force", func() bool {
		status, err := d.nodes[through].operators().Status(context.Background(), connect.NewRequest(&stiletrailv1.StatusRequest{Service: "lookup"}))
		return err == nil && len(status.Msg.GetServices()) == 1 && status.Msg.GetServices()[0].GetVersion() == version &&
			status.Msg.GetServices()[0].GetNodesInForce() >= on
	})
}

// TestWholePath: plan, confirm, status, search and execute through separate processes and the command line.
func TestWholePath(t *testing.T) {
	d := deploy(t)
	d.inForce(t, 1, d.apply(t, 0, 2000), 3)
	for _, n := range d.nodes {
		eventually(t, "a search is complete", n.complete)
	}
	minted, err := d.nodes[0].callers().MintTicket(context.Background(), connect.NewRequest(&stiletrailv1.MintTicketRequest{}))
	for limit := time.Now().Add(patience); err != nil && time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		minted, err = d.nodes[0].callers().MintTicket(context.Background(), connect.NewRequest(&stiletrailv1.MintTicketRequest{}))
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range d.nodes {
		done, err := n.callers().Execute(context.Background(), connect.NewRequest(&stiletrailv1.ExecuteRequest{
			Service: "lookup", Key: "k", Body: []byte("once"), Ticket: minted.Msg.GetTicket(), DeadlineMilliseconds: 5000,
		}))
		if err != nil || string(done.Msg.GetResult()) != "once" {
			t.Errorf("execute: %v", err)
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

// TestNodeKilledAndReplaced: the others serve on, and a new process at the address is taken in.
func TestNodeKilledAndReplaced(t *testing.T) {
	d := deploy(t)
	d.inForce(t, 0, d.apply(t, 0, 2000), 3)
	d.nodes[2].signal(t, syscall.SIGKILL)
	d.nodes[2].exitCode(t)
	for _, n := range d.nodes[:2] {
		eventually(t, "a search is complete without the killed node", n.complete)
	}
	d.run(t, 2)
	eventually(t, "the replaced node is ready", d.nodes[2].ready)
	eventually(t, "a search at the replaced node is complete", d.nodes[2].complete)
	d.inForce(t, 2, 1, 3)
}

// TestNodeFrozen: a frozen node does not stop the others, and joins again when it wakes.
func TestNodeFrozen(t *testing.T) {
	d := deploy(t)
	d.inForce(t, 0, d.apply(t, 0, 2000), 3)
	d.nodes[1].signal(t, syscall.SIGSTOP)
	version := d.apply(t, 0, 2001)
	d.inForce(t, 2, version, 2)
	eventually(t, "a search is complete while a node is frozen", d.nodes[0].complete)
	d.nodes[1].signal(t, syscall.SIGCONT)
	d.inForce(t, 1, version, 3)
	eventually(t, "a search at the woken node is complete", d.nodes[1].complete)
}

// TestStoreStopped: searches go on without the store, a change is refused as not run, and the store is used again.
func TestStoreStopped(t *testing.T) {
	d := deploy(t)
	d.inForce(t, 0, d.apply(t, 0, 2000), 3)
	d.platform.signal(t, syscall.SIGSTOP)
	for _, n := range d.nodes {
		eventually(t, "a search is complete without the store", n.complete)
	}
	d.platform.signal(t, syscall.SIGCONT)
	d.inForce(t, 0, d.apply(t, 0, 2001), 3)
}

// TestPlannedStopUnderLoad: SIGTERM cuts off nothing that is under way.
func TestPlannedStopUnderLoad(t *testing.T) {
	d := deploy(t)
	d.inForce(t, 0, d.apply(t, 0, 2000), 3)
	for _, n := range d.nodes {
		eventually(t, "a search is complete", n.complete)
	}
	var searches sync.WaitGroup
	stopped := make(chan struct{})
	var mutex sync.Mutex
	served, cut := 0, 0
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
					cut++
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
		t.Errorf("exit code %d of the stopped node", code)
	}
	mutex.Lock()
	before := served
	mutex.Unlock()
	eventually(t, "load is served after the stop", enough(before+50))
	close(stopped)
	searches.Wait()
	if cut > 0 {
		t.Errorf("%d of %d searches were cut", cut, served+cut)
	}
}

// TestMalformedPeerInput closes its connection and hurts nobody else.
func TestMalformedPeerInput(t *testing.T) {
	d := deploy(t)
	d.inForce(t, 0, d.apply(t, 0, 2000), 3)
	connection, err := net.Dial("tcp", d.nodes[0].peer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 4))); err != nil {
		t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(patience))
	if _, err := connection.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the connection was not closed: %v", err)
	}
	eventually(t, "a search is complete", d.nodes[0].complete)
}

// TestBadSettingsExitBeforeAnyPortOpens with all problems listed.
func TestBadSettingsExitBeforeAnyPortOpens(t *testing.T) {
	command := exec.Command(filepath.Join(binaries, "stiletraild"), "--http-address", "nowhere", "--zone", "a b")
	output, _ := command.CombinedOutput()
	if command.ProcessState.ExitCode() != 2 {
		t.Errorf("exit code %d", command.ProcessState.ExitCode())
	}
	for _, want := range []string{"http_address", "zone", "peer_address", "platform_url"} {
		if !strings.Contains(string(output), want) {
			t.Errorf("%s is not in %s", want, output)
		}
	}
}
