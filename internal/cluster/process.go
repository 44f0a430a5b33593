package cluster

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Process is one child process with its captured output.
type Process struct {
	// Name is unique within a cluster.
	Name string
	// Args is the command line, program first.
	Args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	output *tail
	done   chan struct{}
	err    error
}

// outputLimit bounds the kept output of a process in bytes.
const outputLimit = 1 << 20

// NewProcess returns a process that is not started yet. Its output goes to mirror too, if that is not nil.
func NewProcess(name string, mirror io.Writer, args ...string) *Process {
	return &Process{Name: name, Args: args, output: &tail{limit: outputLimit, mirror: mirror}}
}

// Start runs the program. It may be called again after the process has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Stdout = p.output
	cmd.Stderr = p.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "start of "+p.Name+" failed", err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.err = cmd, done, nil
	go p.wait(cmd, done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(done)
}

// Signal sends a signal to the process; it does nothing when the process has ended.
func (p *Process) Signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.running() {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(killWait)
}

// killWait bounds the time that the kernel needs to end a killed process.
const killWait = 10 * time.Second

// Pause stops the process without ending it.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop asks the process to stop and waits up to limit. It fails when the process exits non-zero or too late.
func (p *Process) Stop(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(limit)
}

// Wait waits for the end of the process up to limit.
func (p *Process) Wait(limit time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return p.exitFailure()
	case <-time.After(limit):
		return failure.New(failure.DeadlineExpired, failure.Unknown, p.Name+" did not end within "+limit.String())
	}
}

func (p *Process) exitFailure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		return nil
	}
	return failure.Wrap(failure.Internal, failure.Ran, p.Name+" ended with an error", p.err)
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.running()
}

func (p *Process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID returns the process number; 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Output returns the newest output of the process.
func (p *Process) Output() string { return p.output.String() }

// tail keeps the newest bytes written to it.
type tail struct {
	mu     sync.Mutex
	limit  int
	buf    bytes.Buffer
	mirror io.Writer
}

// Write appends data and drops the oldest half once the limit is passed.
func (t *tail) Write(data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf.Write(data)
	if t.buf.Len() > t.limit {
		t.buf.Next(t.buf.Len() - t.limit/2)
	}
	if t.mirror != nil {
		_, _ = t.mirror.Write(data)
	}
	return len(data), nil
}

// String returns the kept bytes.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}
