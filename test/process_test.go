// Package test runs the programs as separate processes on loopback. Tests wait until a condition is observed instead of sleeping
// for a fixed time, and every wait has a limit.
package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// testTimeout is the limit of every wait. It is far above the time that any step takes.
const testTimeout = 60 * time.Second

var binaryDirectory string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "stiletrail")
	if err != nil {
		panic(err)
	}
	binaryDirectory = directory
	build := exec.Command("go", "build", "-o", directory+"/", "../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a program that a test has started. done is closed when it has ended.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

func start(t *testing.T, program string, arguments ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(filepath.Join(binaryDirectory, program), arguments...), done: make(chan struct{})}
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
	case <-time.After(testTimeout):
		t.Fatal("the process did not end within the time limit")
	}
	return p.command.ProcessState.ExitCode()
}

// eventually polls every 10 ms until a condition holds. It fails the test if that takes longer than testTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition was not met within the time limit: %s", what)
}
