package coordinator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

func randomServers(random *rand.Rand, n int) map[string]fleet.Server {
	out := map[string]fleet.Server{}
	for i := range n {
		s := fleet.Server{ID: fmt.Sprintf("i-%08x", i*7919), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			FailureDomain: "d", StartMillis: int64(1 + random.IntN(3)), Sequence: 1, Slots: 64}
		for m := range 1 + random.IntN(3) {
			held := fleet.ResidentModel{Name: fmt.Sprint("model", random.IntN(600)*4+m), Version: 1}
			for a := range random.IntN(4) {
				held.Adapters = append(held.Adapters, fmt.Sprint("a", a))
			}
			s.Models = append(s.Models, held)
		}
		out[s.ID] = s
	}
	return out
}

// change replaces, removes and adds some servers.
func change(random *rand.Rand, servers map[string]fleet.Server, n int) map[string]fleet.Server {
	out := maps.Clone(servers)
	for id := range out {
		if n--; n < 0 {
			break
		}
		s := out[id]
		switch random.IntN(4) {
		case 0:
			delete(out, id)
		case 1:
			s.Draining = true
			out[id] = s
		case 2:
			s.StartMillis += 10
			s.Models = nil
			out[id] = s
		default:
			s.ID = "new-" + id
			out[s.ID] = s
		}
	}
	return out
}

// follower is a daemon that reports to holders without network.
type follower struct {
	reporter *Reporter
	control  *gateway.Control
}

func newFollower(ctx context.Context) *follower {
	control := gateway.NewControl(eventlog.Discard(), gateway.NewPollTiming(5*time.Second))
	go control.Run(ctx)
	return &follower{control: control,
		reporter: NewReporter("d", followerLease{}, nil, control, gateway.NewDemand(), gateway.NewTracker(), quarantine.NewBoard(), serverlimit.NewTable(rand.Float64), nil, nil, eventlog.Discard())}
}

// reportTo sends reports to a holder until its view is applied and returns the bytes of the responses.
func (f *follower) reportTo(t *testing.T, name string, holder *Coordinator) int {
	t.Helper()
	r := f.reporter
	bytes := 0
	for range 2 {
		if r.source != name {
			r.source, r.view.tenure, r.view.version, r.view.serversVersion = name, 0, 0, 0
		}
		message, _ := r.buildReport()
		view, err := holder.Report(t.Context(), message)
		if err != nil {
			t.Fatal(err)
		}
		bytes += proto.Size(view)
		r.applyPlacement(t.Context(), view)
		r.applyStoreState(t.Context(), view, time.Now(), 0)
		// The control loop applies events in their order: once it shows this placement, it has applied the others.
		last := r.view.placement(view)
		r.control.SetPlacement(t.Context(), last)
		waitUntil(t, 10*time.Second, func() bool { return r.control.View().Placement == last })
	}
	return bytes
}

// requireSame checks that the follower knows the servers and holdings of the holder.
func (f *follower) requireSame(t *testing.T, holder *Coordinator, servers map[string]fleet.Server) {
	t.Helper()
	view := f.control.View()
	if got, want := *serverDigests(view.Servers), *serverDigests(servers); got != want || len(view.Servers) != len(servers) {
		t.Fatalf("follower knows %d servers, want the %d of the holder with the same content", len(view.Servers), len(servers))
	}
	want := digests{}
	for _, r := range holder.runners {
		want.add(r.id, hashHolding(holdingToProto(r)))
		if f.reporter.view.names[r.index] != r.id {
			t.Fatalf("runner with index %d: %q, want %q", r.index, f.reporter.view.names[r.index], r.id)
		}
	}
	got := digests{}
	for id, content := range f.reporter.view.hashes {
		got.add(id, content)
	}
	if got != want || len(f.reporter.view.names) != len(holder.runners) || len(view.Placement.Holdings) != len(holder.runners) {
		t.Fatalf("follower knows %d holdings and %d indexes, want the %d of the holder with the same content",
			len(view.Placement.Holdings), len(f.reporter.view.names), len(holder.runners))
	}
}

// Load pattern: the lease changes hands among 350 daemons before 760 runners. Guards against a new holder that sends
// each of them everything, which fills its link for seconds while they give it up again, and against a daemon whose
// state differs from that of the holder after a change. One case has a restarted holder at the same address.
func TestHandoverSendsOnlyDifferences(t *testing.T) {
	const runners, changed = 760, 5
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		ctx, cancel := context.WithCancel(t.Context())
		f := newFollower(ctx)
		servers := randomServers(random, runners)
		first := newHolder(7, 1, servers)
		full := f.reportTo(t, "first", first)
		f.requireSame(t, first, servers)
		name := "second"
		for i := range int64(3) {
			servers = change(random, servers, changed)
			holder := newHolder(8+i, uint64(1+random.IntN(9)), servers)
			if got := f.reportTo(t, name, holder); got > full/3 {
				t.Errorf("seed %d: %d bytes after hand-over %d with %d changes, want at most a third of the %d for everything", seed, got, i, changed, full)
			}
			f.requireSame(t, holder, servers)
			if i == 1 {
				name = "third"
			}
		}
		cancel()
	}
}
