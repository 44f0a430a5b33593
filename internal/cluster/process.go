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

// Process is a child process with its captured output. It is safe for concurrent use.
type Process struct {
	// Name is unique within a cluster.
	Name string
	// Args is the command line, program first.
	Args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	output *tailBuffer
	done   chan struct{}
	err    error
}

// outputLimit is the largest amount of output kept for a process, in bytes.
const outputLimit = 1 << 20

// NewProcess returns a process that is not started yet. Its output is also copied to mirror, if that is not nil.
func NewProcess(name string, mirror io.Writer, args ...string) *Process {
	return &Process{Name: name, Args: args, output: &tailBuffer{limit: outputLimit, mirror: mirror}}
}

// Start starts the program without waiting for it. It may be called again after the process has exited. The kernel kills
// the process when the thread that started it ends.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Stdout = p.output
	cmd.Stderr = p.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "cannot start "+p.Name, err)
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

// Signal sends a signal to the process; it does nothing if the process is not running.
func (p *Process) Signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.running() {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait(killTimeout)
}

// killTimeout limits the wait for the exit of a killed process.
const killTimeout = 10 * time.Second

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits up to limit for the exit. It fails if the process exits with an error or not in time.
func (p *Process) Stop(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	return p.Wait(limit)
}

// Wait waits up to limit for the process to exit. It returns nil for a process that was never started, and fails with
// code DeadlineExceeded after limit.
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
		return failure.New(failure.DeadlineExceeded, failure.Unknown, p.Name+" did not end within "+limit.String())
	}
}

func (p *Process) exitFailure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		return nil
	}
	return failure.Wrap(failure.Internal, failure.Ran, p.Name+" exited with an error", p.err)
}

// Running reports whether the process was started and has not exited.
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

// PID returns the process ID; 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Output returns the kept output of the process: at most the latest MiB over all its starts.
func (p *Process) Output() string { return p.output.String() }

// tailBuffer keeps the latest bytes written to it and copies all of them to mirror, if set. It is safe for concurrent
// use.
type tailBuffer struct {
	mu     sync.Mutex
	limit  int
	buf    bytes.Buffer
	mirror io.Writer
}

// Write appends data. When the buffer exceeds its limit, it is cut to the latest limit/2 bytes.
func (t *tailBuffer) Write(data []byte) (int, error) {
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
func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}
