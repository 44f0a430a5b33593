package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/fx"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/frame"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/settings"
	"trefoilferry.example/ferry/pkg/stream"
)

type fakeHosts struct{}

func (fakeHosts) Hosts(context.Context) ([]infra.Host, error) { return nil, nil }

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func publishModel(t *testing.T, log infra.Log, name string) uint64 {
	t.Helper()
	p := configlog.NewPublisher(log, clock.System{})
	if err := p.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	change := configlog.Change{Puts: []*ferrypb.Object{{Kind: "model", Name: name, Values: map[string]string{"version": "v1", "bytes": "1GiB"}}}}
	entry, err := p.Submit(t.Context(), change.Prepare(p.Fold(), "set-"+name))
	if err != nil {
		t.Fatal(err)
	}
	return entry.GetOffset()
}

func place(t *testing.T, log infra.Log, a *fakeAgent) {
	t.Helper()
	w := stream.NewWriter(log, "placement", "test", time.Now, func() uint64 { return 1 })
	put := func(r *ferrypb.PlacementRecord) uint64 {
		offset, err := w.Append(t.Context(), &ferrypb.Envelope{Payload: &ferrypb.Envelope_Placement{Placement: r}})
		if err != nil {
			t.Fatal(err)
		}
		return offset
	}
	fencing := put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{
		Runner: a.name, Incarnation: a.name, Address: a.candidate().Address, Region: "r", FailureDomain: "d", MemoryBytes: 1 << 40}}})
	claim := put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: &ferrypb.Claim{
		Model: "m", Version: "v1", Runner: a.name, Fencing: fencing, Bytes: 1 << 30, Kind: ferrypb.ClaimKind_CLAIM_KIND_FLOOR, Wanted: 1, FailureDomain: "d", Region: "r"}}})
	put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Ready{Ready: &ferrypb.Ready{Claim: claim, Runner: a.name, Fencing: fencing}}})
}

func startDaemon(t *testing.T, log infra.Log) (*fx.App, *Settings) {
	t.Helper()
	s := &Settings{}
	text := hostSettings + fmt.Sprintf("[listen]\ncallers=%s\ncontrol=%s\nadmin=%s\n[drain]\ngrace=400ms\ntimeout=5s\n", freeAddress(t), freeAddress(t), freeAddress(t))
	if err := settings.Parse("test", []byte(text), s); err != nil {
		t.Fatal(err)
	}
	app := NewApp(s, io.Discard,
		fx.Decorate(func(infra.Log) infra.Log { return log }),
		fx.Decorate(func(infra.HostList) infra.HostList { return fakeHosts{} }))
	if err := app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return app, s
}

func ready(s *Settings) bool {
	response, err := http.Get("http://" + s.Listen.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func eventually(t *testing.T, what string, within time.Duration, done func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

func post(s *Settings) (*http.Response, string, error) {
	response, err := http.Post("http://"+s.Listen.Callers+"/v1/chat/completions", "application/json", strings.NewReader(chatBody+`"n":1}`))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against a stop that cuts a request in progress, refuses one within the grace, or stays ready.
func TestStopIsGraceful(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 10)
	a := newFakeAgent(t, "a", 0, func(t *testing.T, c *execCall) {
		begun <- struct{}{}
		<-release
		tellStory(t, c)
	})
	log := memlog.New()
	publishModel(t, log, "m")
	place(t, log, a)
	app, s := startDaemon(t, log)
	eventually(t, "ready", 3*time.Second, func() bool { return ready(s) })
	answers := make(chan string, 2)
	request := func() {
		response, body, err := post(s)
		if err != nil {
			answers <- err.Error()
			return
		}
		answers <- fmt.Sprint(response.StatusCode, response.Close, body)
	}
	go request()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	eventually(t, "not ready", time.Second, func() bool { return !ready(s) })
	go request()
	<-begun
	time.Sleep(500 * time.Millisecond)
	close(release)
	for range 2 {
		if got := <-answers; !strings.HasPrefix(got, "200") || !strings.Contains(got, strings.Join(story, "")) {
			t.Errorf("cut by the stop: %s", got)
		}
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// Guards against a daemon that is ready before it knows the configuration, misses a change for more than 3 s,
// or loses what is in force when the log goes out.
func TestConfigurationComesIntoForceAndStays(t *testing.T) {
	log := memlog.New()
	log.SetDown(true)
	app, s := startDaemon(t, log)
	defer func() { _ = app.Stop(context.Background()) }()
	time.Sleep(300 * time.Millisecond)
	if ready(s) {
		t.Fatal("ready without configuration")
	}
	if response, _, err := post(s); err != nil || response.StatusCode != 503 {
		t.Fatalf("served without configuration: %v", err)
	}
	log.SetDown(false)
	offset := publishModel(t, log, "m")
	place(t, log, newFakeAgent(t, "a", 0, tellStory))
	peer := ferrypb.NewPeerProtobufClient("http://"+s.Listen.Control, http.DefaultClient)
	eventually(t, "change in force", 3*time.Second, func() bool {
		status, err := peer.Status(t.Context(), &ferrypb.StatusRequest{})
		return err == nil && status.GetConfigOffset() >= offset && status.GetPlacementOffset() >= 3 && status.GetReady()
	})
	log.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	if response, body, err := post(s); err != nil || response.StatusCode != 200 {
		t.Fatalf("log out: %v %s", err, body)
	}
	read, err := peer.ReadStream(t.Context(), &ferrypb.ReadStreamRequest{Stream: "config", From: 1})
	if err != nil || len(read.GetRecords()) == 0 {
		t.Fatalf("peer cannot read the stream: %v", err)
	}
	events, err := peer.Timeline(t.Context(), &ferrypb.TimelineRequest{})
	if err != nil || len(events.GetEvents()) < 4 {
		t.Fatalf("timeline: %v", err)
	}
}

// Guards against a reused connection after a cancelled or failed call, on which a late frame could cross over.
func TestFailedConnectionIsNotReused(t *testing.T) {
	remotes := make(chan string, 10)
	bad := true
	a := newFakeAgent(t, "a", 0, func(t *testing.T, c *execCall) {
		remotes <- c.ctx.Value(http.LocalAddrContextKey).(net.Addr).String() + c.remote
		if bad {
			bad = false
			tellPart(c, 1)
			raw(c, 9, frame.Ident{RequestID: "x"}, "secret")
			return
		}
		tellStory(t, c)
	})
	f := newFixture(t, nil, a)
	for range 2 {
		if _, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`); !strings.Contains(body, strings.Join(story, "")) {
			t.Fatal(body)
		}
	}
	first, second, third := <-remotes, <-remotes, <-remotes
	if first == second {
		t.Fatal("connection reused after a failure")
	}
	if second != third {
		t.Fatal("connection not reused after a complete answer")
	}
}
