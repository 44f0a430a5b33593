package main

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runAsCommand is the environment variable that makes the test binary act as ferry-standin.
const runAsCommand = "FERRY_STANDIN_RUN"

// TestMain runs the command instead of the tests in processes started with runAsCommand.
func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) == "" {
		os.Exit(m.Run())
	}
	if err := run(os.Args); err != nil {
		os.Exit(1)
	}
}

// Guards against a stand-in that does not print its address, ignores fault switches or does not exit at SIGTERM.
func TestProcesses(t *testing.T) {
	tests := map[string][]string{
		"log":     {"log", "--max-records", "10"},
		"hosts":   {"hosts", "--lag", "10ms"},
		"store":   {"store", "--scale", "10"},
		"engine":  {"engine", "--memory", "100", "--honour-fencing"},
		"service": {"service", "--delay", "1ms"},
		"proxy":   {"proxy", "--target", "127.0.0.1:1"},
	}
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			command := exec.CommandContext(ctx, os.Args[0], args...)
			command.Env = append(os.Environ(), runAsCommand+"=1")
			out, err := command.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			postFaults(t, waitForAddress(t, bufio.NewScanner(out)))
			if err := command.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := command.Wait(); err != nil {
				t.Fatalf("exit after SIGTERM: %v, want status 0", err)
			}
		})
	}
}

// waitForAddress reads lines until the one that gives the address of the server.
func waitForAddress(t *testing.T, lines *bufio.Scanner) string {
	t.Helper()
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "listening on "); ok {
			return address
		}
	}
	t.Fatal("output ended without a line \"listening on ADDR\"")
	return ""
}

// postFaults checks that POST /faults accepts a known switch and refuses a misspelt one.
func postFaults(t *testing.T, address string) {
	t.Helper()
	for body, want := range map[string]int{`{"delay_millis":5}`: http.StatusOK, `{"dleay":5}`: http.StatusBadRequest} {
		resp, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Fatalf("status of POST /faults with %s: %d, want %d", body, resp.StatusCode, want)
		}
	}
}
