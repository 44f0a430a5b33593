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

// bench runs command lines against a log in memory and stand-in daemons.
type bench struct {
	t     *testing.T
	log   *memlog.Log
	hosts []infra.Host
	ids   int
}

func (b *bench) Hosts(context.Context) ([]infra.Host, error) { return b.hosts, nil }

func (b *bench) run(args ...string) (int, string, string) {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	app := &App{Stdout: &stdout, Stderr: &stderr, User: "tester", Connect: func(e Endpoints) (*Client, error) {
		return &Client{Log: b.log, Hosts: b, Daemons: e.Daemons, HTTP: http.DefaultClient, PeerTimeout: e.PeerTimeout, Clock: clock.System{}, NewID: func() string {
			b.ids++
			return fmt.Sprint("id", b.ids)
		}}, nil
	}}
	code := app.Run(b.t.Context(), append([]string{"ferryctl", "--log-url", "http://log", "--hosts-url", "http://hosts"}, args...))
	return code, stdout.String(), stderr.String()
}

func (b *bench) want(code int, fragment string, args ...string) string {
	b.t.Helper()
	got, stdout, stderr := b.run(args...)
	if got != code || !strings.Contains(stdout+stderr, fragment) {
		b.t.Fatalf("%v: exit %d, want %d with %q\n%s%s", args, got, code, fragment, stdout, stderr)
	}
	return stdout
}

func (b *bench) file(text string) string {
	path := filepath.Join(b.t.TempDir(), "set.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

func newBench(t *testing.T) *bench { return &bench{t: t, log: memlog.New()} }

const twoModels = "[model \"a\"]\nversion = 1\nbytes = 8GiB\n[model \"b\"]\nversion = 1\nbytes = 8GiB\n[adapter \"x\"]\nmodel = b\nbytes = 1MiB\n"

// Guards against exit codes and documents that scripts cannot rely on.
func TestExitCodes(t *testing.T) {
	b := newBench(t)
	bad := b.file("[model \"a\"]\nbites = 1\n")
	good := b.file(twoModels)
	b.want(ExitUsage, "at least one file", "publish")
	b.want(ExitUsage, "colour", "get", "--colour")
	b.want(ExitUsage, "unknown command", "publsh")
	b.want(ExitUsage, "did you mean model", "get", "modl")
	b.want(ExitInvalid, "set.ini:2: model/a: bites: unknown key; did you mean bytes?", "validate", bad)
	b.want(ExitInvalid, "required key is missing", "publish", bad)
	b.want(ExitDone, "valid: 3 objects", "validate", good)
	b.want(ExitDone, "accepted at offset 1", "publish", good)
	b.want(ExitFailure, "no model c", "get", "model", "c")
	b.log.SetDown(true)
	b.want(ExitUnavailable, "log_unavailable", "publish", good)
	var document errorDocument
	_, stdout, _ := b.run("publish", "--json", good)
	if err := json.Unmarshal([]byte(stdout), &document); err != nil || document.Error.Code != "log_unavailable" {
		t.Fatal(stdout, err)
	}
}

// Guards against a publication that deletes or re-applies objects that its files do not name.
func TestPublishTouchesNamedObjectsOnly(t *testing.T) {
	b := newBench(t)
	good := b.file(twoModels)
	b.want(ExitDone, "put    model/a", "publish", good)
	b.want(ExitDone, "nothing to change", "publish", good)
	if b.log.Appends() != 1 {
		t.Fatal("the same files were appended twice")
	}
	one := b.file("[model \"a\"]\nversion = 2\nbytes = 8GiB\n")
	b.want(ExitInvalid, `adapter/x: model: model "b" does not exist`, "publish", "--delete", "model/b", one)
	b.want(ExitInvalid, "did you mean adapter/x?", "publish", "--delete", "adapter/y", one)
	b.want(ExitInvalid, "both put and deleted", "publish", "--delete", "model/a", one)
	b.want(ExitDone, "nothing was published", "publish", "--dry-run", one)
	b.want(ExitDone, "delete adapter/x", "publish", one, "--delete", "adapter/x")
	b.want(ExitDone, "nothing to change", "publish", one, "--delete", "adapter/x")
	b.want(ExitDone, "accepted", "drain", "r1")
	b.want(ExitDone, "delete model/b", "publish", "--replace-all", one)
	stdout := b.want(ExitDone, "version = 2", "get")
	if strings.Contains(stdout, `"b"`) || !strings.Contains(stdout, `[drain "r1"]`) {
		t.Fatal(stdout)
	}
	b.want(ExitDone, "delete drain/r1", "publish", "--replace-all", "--delete", "drain/r1", one)
	b.want(ExitDone, "tester", "history")
}

// Guards against a lost race that looks like success; the loser must learn object and winning offset.
func TestConflict(t *testing.T) {
	b := newBench(t)
	b.want(ExitDone, "accepted at offset 1", "publish", b.file(twoModels))
	client := &Client{Log: &racing{Log: b.log, rival: func() { b.want(ExitDone, "accepted", "drain", "r1") }}, Clock: clock.System{}, NewID: func() string { return "late" }}
	_, err := client.Drain(t.Context(), "r1", "t")
	view := viewError(err)
	if ExitCode(err) != ExitConflict || view.Object != "drain/r1" || view.WinningOffset != 2 || view.Offset != 3 {
		t.Fatalf("%+v", view)
	}
	b.want(ExitDone, "delete drain/r1", "undrain", "r1")
	b.want(ExitDone, "nothing to change", "undrain", "r1")
}

// racing lets a rival publish just before the first append.
type racing struct {
	*memlog.Log
	rival func()
}

func (r *racing) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if rival := r.rival; rival != nil {
		r.rival = nil
		rival()
	}
	return r.Log.Append(ctx, stream, data)
}

// daemon is a stand-in for the Peer service of a daemon.
type daemon struct {
	ferrypb.Peer
	status   *ferrypb.StatusResponse
	timeline *ferrypb.TimelineResponse
	follower *stream.Follower
}

func (d *daemon) Status(context.Context, *ferrypb.StatusRequest) (*ferrypb.StatusResponse, error) {
	return d.status, nil
}

func (d *daemon) Timeline(context.Context, *ferrypb.TimelineRequest) (*ferrypb.TimelineResponse, error) {
	return d.timeline, nil
}

func (d *daemon) ReadStream(_ context.Context, r *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	return d.follower.ReadStream(r), nil
}

func (b *bench) daemon(name string, d *daemon) {
	server := httptest.NewServer(ferrypb.NewPeerServer(d))
	b.t.Cleanup(server.Close)
	b.hosts = append(b.hosts, infra.Host{Name: name, Address: strings.TrimPrefix(server.URL, "http://"), Region: "ege"})
}

// Guards against a status that hides processes which are behind or do not answer, and that needs the log.
func TestStatus(t *testing.T) {
	b := newBench(t)
	b.want(ExitDone, "accepted at offset 1", "publish", b.file(twoModels))
	b.want(ExitDone, "accepted at offset 2", "drain", "r1")
	b.daemon("e1", &daemon{status: &ferrypb.StatusResponse{Process: "e1", ConfigOffset: 2, Ready: true}})
	b.daemon("e2", &daemon{status: &ferrypb.StatusResponse{Process: "e2", ConfigOffset: 1, Ready: true}})
	b.hosts = append(b.hosts, infra.Host{Name: "gone", Address: "127.0.0.1:1"})
	b.want(ExitDone, "offset 2 from log: 1 of 3 in force, 1 behind, 1 unreachable", "status")
	b.log.SetDown(true)
	b.want(ExitDone, "offset 2 from processes; log unavailable", "status")
	b.want(ExitFailure, "no daemon answered", "status", "--daemon", "127.0.0.1:1")
}

// Guards against a wait that reports a change as in force although a daemon is behind, or that fails an accepted change.
func TestPublishWaits(t *testing.T) {
	b := newBench(t)
	b.daemon("e1", &daemon{status: &ferrypb.StatusResponse{Process: "e1", ConfigOffset: 1}})
	b.want(ExitDone, "in force everywhere", "publish", "--wait", "5s", b.file(twoModels))
	one := b.file("[model \"a\"]\nversion = 2\nbytes = 8GiB\n")
	b.want(ExitDone, "not in force at e1", "publish", "--wait", "10ms", one)
}

// Guards against a timeline that lists an effect before its cause or ignores the filter of an old daemon.
func TestTimeline(t *testing.T) {
	b := newBench(t)
	event := func(process string, lamport uint64, request string) *ferrypb.TimelineEvent {
		return &ferrypb.TimelineEvent{Process: process, Lamport: lamport, RequestId: request, Kind: process + "-event"}
	}
	b.daemon("z", &daemon{timeline: &ferrypb.TimelineResponse{Events: []*ferrypb.TimelineEvent{event("z", 1, "q1"), event("z", 2, "q2")}}})
	b.daemon("a", &daemon{timeline: &ferrypb.TimelineResponse{Dropped: 4, Events: []*ferrypb.TimelineEvent{event("a", 5, "q1")}}})
	stdout := b.want(ExitDone, "4 older events", "timeline", "--request", "q1")
	if strings.Contains(stdout, "q2") || strings.Index(stdout, "z-event") > strings.Index(stdout, "a-event") {
		t.Fatal(stdout)
	}
}

// Guards against operators who are blind during an outage of the log, and who take the view of a daemon for that of the log.
func TestReadsDuringOutage(t *testing.T) {
	b := newBench(t)
	b.want(ExitDone, "accepted at offset 1", "publish", b.file(twoModels))
	// The short tail makes the daemon serve a checkpoint.
	follower := stream.NewFollower(stream.FollowerConfig{Stream: configlog.Stream, Fold: configlog.NewFold(), Log: b.log, TailRecords: 1})
	b.want(ExitDone, "accepted at offset 2", "drain", "r1")
	if _, err := follower.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.log.SetDown(true)
	b.want(ExitUnavailable, "log_unavailable", "get")
	b.daemon("e1", &daemon{follower: follower})
	b.want(ExitDone, "as in force at the daemons\n[adapter", "get")
	b.want(ExitDone, `"source": "daemons"`, "history", "--json")
}
