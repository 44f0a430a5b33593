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

func publishCopy(t *testing.T, log infra.Log, a *fakeAgent) {
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

func isReady(s *Settings) bool {
	response, err := http.Get("http://" + s.Listen.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitUntil(t *testing.T, what string, within time.Duration, done func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", within, what)
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

// Guards against a shutdown that interrupts a request in progress, refuses a request within the grace period, or leaves
// the daemon ready.
func TestStopIsGraceful(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 10)
	a := newFakeAgent(t, "a", 0, func(t *testing.T, c *execCall) {
		begun <- struct{}{}
		<-release
		generateAll(t, c)
	})
	log := memlog.New()
	publishModel(t, log, "m")
	publishCopy(t, log, a)
	app, s := startDaemon(t, log)
	waitUntil(t, "ready", 3*time.Second, func() bool { return isReady(s) })
	responses := make(chan string, 2)
	request := func() {
		response, body, err := post(s)
		if err != nil {
			responses <- err.Error()
			return
		}
		responses <- fmt.Sprint(response.StatusCode, response.Close, body)
	}
	go request()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	waitUntil(t, "not ready", time.Second, func() bool { return !isReady(s) })
	go request()
	<-begun
	time.Sleep(500 * time.Millisecond)
	close(release)
	for range 2 {
		if got := <-responses; !strings.HasPrefix(got, "200") || !strings.Contains(got, strings.Join(generatedWords, "")) {
			t.Errorf("response during the shutdown: %s, want status 200 with the whole text", got)
		}
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// Guards against a daemon that is ready before it has read the configuration, takes more than 3 s to apply a change, or
// loses the configuration during an outage of the log.
func TestConfigurationIsAppliedAndKept(t *testing.T) {
	log := memlog.New()
	log.SetDown(true)
	app, s := startDaemon(t, log)
	defer func() { _ = app.Stop(context.Background()) }()
	time.Sleep(300 * time.Millisecond)
	if isReady(s) {
		t.Fatal("ready before the configuration was read")
	}
	if response, _, err := post(s); err != nil || response.StatusCode != 503 {
		t.Fatalf("request before the configuration was read: error %v, want status 503", err)
	}
	log.SetDown(false)
	offset := publishModel(t, log, "m")
	publishCopy(t, log, newFakeAgent(t, "a", 0, generateAll))
	peer := ferrypb.NewPeerProtobufClient("http://"+s.Listen.Control, http.DefaultClient)
	waitUntil(t, "change applied and daemon ready", 3*time.Second, func() bool {
		status, err := peer.Status(t.Context(), &ferrypb.StatusRequest{})
		return err == nil && status.GetConfigOffset() >= offset && status.GetPlacementOffset() >= 3 && status.GetReady()
	})
	log.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	if response, body, err := post(s); err != nil || response.StatusCode != 200 {
		t.Fatalf("request during an outage of the log: error %v, body %s, want status 200", err, body)
	}
	read, err := peer.ReadStream(t.Context(), &ferrypb.ReadStreamRequest{Stream: "config", From: 1})
	if err != nil || len(read.GetRecords()) == 0 {
		t.Fatalf("ReadStream of the configuration: error %v, %d records, want at least 1", err, len(read.GetRecords()))
	}
	events, err := peer.Timeline(t.Context(), &ferrypb.TimelineRequest{})
	if err != nil || len(events.GetEvents()) < 4 {
		t.Fatalf("timeline: error %v, %d events, want at least 4", err, len(events.GetEvents()))
	}
}

// Guards against reuse of a connection after a failed exec call, where a late frame could be read as part of the next
// response.
func TestFailedConnectionIsNotReused(t *testing.T) {
	remotes := make(chan string, 10)
	bad := true
	a := newFakeAgent(t, "a", 0, func(t *testing.T, c *execCall) {
		remotes <- c.ctx.Value(http.LocalAddrContextKey).(net.Addr).String() + c.remote
		if bad {
			bad = false
			generatePart(c, 1)
			writeRawFrame(c, 9, frame.Ident{RequestID: "x"}, "secret")
			return
		}
		generateAll(t, c)
	})
	f := newFixture(t, nil, a)
	for range 2 {
		if _, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`); !strings.Contains(body, strings.Join(generatedWords, "")) {
			t.Fatalf("response: %s, want the whole text", body)
		}
	}
	first, second, third := <-remotes, <-remotes, <-remotes
	if first == second {
		t.Fatalf("connection %s was reused after a failure", first)
	}
	if second != third {
		t.Fatalf("connection after a complete response: %s, want %s again", third, second)
	}
}
