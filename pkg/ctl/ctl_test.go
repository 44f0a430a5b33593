package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/stream"
)

// harness runs ferryctl command lines against an in-memory log and fake daemons.
type harness struct {
	t     *testing.T
	log   *memlog.Log
	hosts []infra.Host
	// ids is the number of change set ids handed out.
	ids int
}

func (h *harness) Hosts(context.Context) ([]infra.Host, error) { return h.hosts, nil }

// run executes a command line and returns its exit code, stdout and stderr.
func (h *harness) run(args ...string) (int, string, string) {
	h.t.Helper()
	var stdout, stderr bytes.Buffer
	app := &App{Stdout: &stdout, Stderr: &stderr, DefaultAuthor: "tester", Connect: func(e Endpoints) (*Client, error) {
		return &Client{Log: h.log, Hosts: h, Daemons: e.Daemons, HTTP: http.DefaultClient, PeerTimeout: e.PeerTimeout, Clock: clock.System{}, NewID: func() string {
			h.ids++
			return fmt.Sprint("id", h.ids)
		}}, nil
	}}
	code := app.Run(h.t.Context(), append([]string{"ferryctl", "--log-url", "http://log", "--hosts-url", "http://hosts"}, args...))
	return code, stdout.String(), stderr.String()
}

// expect runs a command line, checks its exit code and that its output contains fragment, and returns its stdout.
func (h *harness) expect(code int, fragment string, args ...string) string {
	h.t.Helper()
	got, stdout, stderr := h.run(args...)
	if got != code || !strings.Contains(stdout+stderr, fragment) {
		h.t.Fatalf("ferryctl %v: exit code %d, want %d and output that contains %q\nstdout: %s\nstderr: %s", args, got, code, fragment, stdout, stderr)
	}
	return stdout
}

func (h *harness) writeFile(text string) string {
	path := filepath.Join(h.t.TempDir(), "set.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	return path
}

func newHarness(t *testing.T) *harness { return &harness{t: t, log: memlog.New()} }

const twoModelsINI = "[model \"a\"]\nversion = 1\nbytes = 8GiB\n[model \"b\"]\nversion = 1\nbytes = 8GiB\n[adapter \"x\"]\nmodel = b\nbytes = 1MiB\n"

// Guards against wrong exit codes and malformed JSON errors, on which scripts rely.
func TestExitCodes(t *testing.T) {
	h := newHarness(t)
	invalidFile := h.writeFile("[model \"a\"]\nbites = 1\n")
	validFile := h.writeFile(twoModelsINI)
	h.expect(ExitUsage, "at least one file", "publish")
	h.expect(ExitUsage, "colour", "get", "--colour")
	h.expect(ExitUsage, "unknown command", "publsh")
	h.expect(ExitUsage, "did you mean model", "get", "modl")
	h.expect(ExitInvalid, "set.ini:2: model/a: bites: unknown key; did you mean bytes?", "validate", invalidFile)
	h.expect(ExitInvalid, "required key is missing", "publish", invalidFile)
	h.expect(ExitSuccess, "valid: 3 objects", "validate", validFile)
	h.expect(ExitSuccess, "accepted at offset 1", "publish", validFile)
	h.expect(ExitFailure, "no model c", "get", "model", "c")
	h.log.SetDown(true)
	h.expect(ExitUnavailable, "log_unavailable", "publish", validFile)
	var document errorDocument
	_, stdout, _ := h.run("publish", "--json", validFile)
	if err := json.Unmarshal([]byte(stdout), &document); err != nil || document.Error.Code != "log_unavailable" {
		t.Fatalf("publish --json during a log outage: code %q (%v), want log_unavailable\n%s", document.Error.Code, err, stdout)
	}
}

// Guards against a publication that deletes or re-applies objects that its files do not name.
func TestPublishTouchesNamedObjectsOnly(t *testing.T) {
	h := newHarness(t)
	validFile := h.writeFile(twoModelsINI)
	h.expect(ExitSuccess, "put    model/a", "publish", validFile)
	h.expect(ExitSuccess, "nothing to change", "publish", validFile)
	if h.log.Appends() != 1 {
		t.Fatalf("appends after publishing the same file twice: %d, want 1", h.log.Appends())
	}
	modelAOnly := h.writeFile("[model \"a\"]\nversion = 2\nbytes = 8GiB\n")
	h.expect(ExitInvalid, `adapter/x: model: model "b" does not exist`, "publish", "--delete", "model/b", modelAOnly)
	h.expect(ExitInvalid, "did you mean adapter/x?", "publish", "--delete", "adapter/y", modelAOnly)
	h.expect(ExitInvalid, "both put and deleted", "publish", "--delete", "model/a", modelAOnly)
	h.expect(ExitSuccess, "nothing was published", "publish", "--dry-run", modelAOnly)
	h.expect(ExitSuccess, "delete adapter/x", "publish", modelAOnly, "--delete", "adapter/x")
	h.expect(ExitSuccess, "nothing to change", "publish", modelAOnly, "--delete", "adapter/x")
	h.expect(ExitSuccess, "accepted", "drain", "r1")
	h.expect(ExitSuccess, "delete model/b", "publish", "--replace-all", modelAOnly)
	stdout := h.expect(ExitSuccess, "version = 2", "get")
	if strings.Contains(stdout, `"b"`) || !strings.Contains(stdout, `[drain "r1"]`) {
		t.Fatalf("objects after publish --replace-all: got\n%s\nwant no object named b, and drain r1", stdout)
	}
	h.expect(ExitSuccess, "delete drain/r1", "publish", "--replace-all", "--delete", "drain/r1", modelAOnly)
	h.expect(ExitSuccess, "tester", "history")
}

// Guards against a publication that loses a race and reports success. The error must name the object and the offset of
// the winning change.
func TestConflict(t *testing.T) {
	h := newHarness(t)
	h.expect(ExitSuccess, "accepted at offset 1", "publish", h.writeFile(twoModelsINI))
	client := &Client{Log: &racingLog{Log: h.log, beforeAppend: func() { h.expect(ExitSuccess, "accepted", "drain", "r1") }}, Clock: clock.System{}, NewID: func() string { return "late" }}
	_, err := client.Drain(t.Context(), "r1", "t")
	view := newErrorView(err)
	if ExitCode(err) != ExitConflict || view.Object != "drain/r1" || view.WinningOffset != 2 || view.Offset != 3 {
		t.Fatalf("error of the losing drain: exit code %d, %+v; want exit code %d, object drain/r1, offset 3, winning offset 2", ExitCode(err), view, ExitConflict)
	}
	h.expect(ExitSuccess, "delete drain/r1", "undrain", "r1")
	h.expect(ExitSuccess, "nothing to change", "undrain", "r1")
}

// racingLog calls beforeAppend once, right before the first append, to simulate a concurrent publication.
type racingLog struct {
	*memlog.Log
	beforeAppend func()
}

func (r *racingLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if beforeAppend := r.beforeAppend; beforeAppend != nil {
		r.beforeAppend = nil
		beforeAppend()
	}
	return r.Log.Append(ctx, stream, data)
}

// fakeDaemon implements the Peer service of a daemon with fixed responses.
type fakeDaemon struct {
	ferrypb.Peer
	status   *ferrypb.StatusResponse
	timeline *ferrypb.TimelineResponse
	follower *stream.Follower
}

func (d *fakeDaemon) Status(context.Context, *ferrypb.StatusRequest) (*ferrypb.StatusResponse, error) {
	return d.status, nil
}

func (d *fakeDaemon) Timeline(context.Context, *ferrypb.TimelineRequest) (*ferrypb.TimelineResponse, error) {
	return d.timeline, nil
}

func (d *fakeDaemon) ReadStream(_ context.Context, r *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	return d.follower.ReadStream(r), nil
}

// addDaemon starts d and adds it to the host list.
func (h *harness) addDaemon(name string, d *fakeDaemon) {
	server := httptest.NewServer(ferrypb.NewPeerServer(d))
	h.t.Cleanup(server.Close)
	h.hosts = append(h.hosts, infra.Host{Name: name, Address: strings.TrimPrefix(server.URL, "http://"), Region: "ege"})
}

// Guards against a status that hides processes which are behind or unreachable, and against one that fails without
// the log.
func TestStatus(t *testing.T) {
	h := newHarness(t)
	h.expect(ExitSuccess, "accepted at offset 1", "publish", h.writeFile(twoModelsINI))
	h.expect(ExitSuccess, "accepted at offset 2", "drain", "r1")
	h.addDaemon("e1", &fakeDaemon{status: &ferrypb.StatusResponse{Process: "e1", ConfigOffset: 2, Ready: true}})
	h.addDaemon("e2", &fakeDaemon{status: &ferrypb.StatusResponse{Process: "e2", ConfigOffset: 1, Ready: true}})
	h.hosts = append(h.hosts, infra.Host{Name: "gone", Address: "127.0.0.1:1"})
	h.expect(ExitSuccess, "offset 2 from log: 1 of 3 in force, 1 behind, 1 unreachable", "status")
	h.log.SetDown(true)
	h.expect(ExitSuccess, "offset 2 from processes; log unavailable", "status")
	h.expect(ExitFailure, "no daemon answered", "status", "--daemon", "127.0.0.1:1")
}

// Guards against a wait that reports a change as applied although a daemon is behind, or that reports an accepted
// change as failed.
func TestPublishWaits(t *testing.T) {
	h := newHarness(t)
	h.addDaemon("e1", &fakeDaemon{status: &ferrypb.StatusResponse{Process: "e1", ConfigOffset: 1}})
	h.expect(ExitSuccess, "in force everywhere", "publish", "--wait", "5s", h.writeFile(twoModelsINI))
	modelAOnly := h.writeFile("[model \"a\"]\nversion = 2\nbytes = 8GiB\n")
	h.expect(ExitSuccess, "not in force at e1", "publish", "--wait", "10ms", modelAOnly)
}

// Guards against a timeline that lists an effect before its cause, or that shows events which an old daemon did not
// filter.
func TestTimeline(t *testing.T) {
	h := newHarness(t)
	event := func(process string, lamport uint64, request string) *ferrypb.TimelineEvent {
		return &ferrypb.TimelineEvent{Process: process, Lamport: lamport, RequestId: request, Kind: process + "-event"}
	}
	h.addDaemon("z", &fakeDaemon{timeline: &ferrypb.TimelineResponse{Events: []*ferrypb.TimelineEvent{event("z", 1, "q1"), event("z", 2, "q2")}}})
	h.addDaemon("a", &fakeDaemon{timeline: &ferrypb.TimelineResponse{Dropped: 4, Events: []*ferrypb.TimelineEvent{event("a", 5, "q1")}}})
	stdout := h.expect(ExitSuccess, "4 older events", "timeline", "--request", "q1")
	if strings.Contains(stdout, "q2") || strings.Index(stdout, "z-event") > strings.Index(stdout, "a-event") {
		t.Fatalf("timeline of request q1: got\n%s\nwant no event of q2, and z-event before a-event", stdout)
	}
}

// Guards against reads that fail during an outage of the log although a daemon responds, and against output that does
// not say that the state comes from the daemons.
func TestReadsDuringOutage(t *testing.T) {
	h := newHarness(t)
	h.expect(ExitSuccess, "accepted at offset 1", "publish", h.writeFile(twoModelsINI))
	// With a tail of one record, the daemon serves the older records as a checkpoint.
	follower := stream.NewFollower(stream.FollowerConfig{Stream: configlog.Stream, Fold: configlog.NewFold(), Log: h.log, TailRecords: 1})
	h.expect(ExitSuccess, "accepted at offset 2", "drain", "r1")
	if _, err := follower.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.log.SetDown(true)
	h.expect(ExitUnavailable, "log_unavailable", "get")
	h.addDaemon("e1", &fakeDaemon{follower: follower})
	h.expect(ExitSuccess, "as in force at the daemons\n[adapter", "get")
	h.expect(ExitSuccess, `"source": "daemons"`, "history", "--json")
}
