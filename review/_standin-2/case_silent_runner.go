package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	chatHost  = "annex.example"
	chatModel = "chat"
	// silence is how long a runner falls silent, once every silenceGap.
	silence    = 1300 * time.Millisecond
	silenceGap = 4300 * time.Millisecond
	silences   = 12
	// chatRunners is the number of runners; the first of them keeps working when a connection closes.
	chatRunners = 8
	// overlapAllowed is how long the runner before may still work on a request that goes on at another one.
	overlapAllowed = 400 * time.Millisecond
)

func chatConfig() ([]byte, error) {
	return json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "chat", "host": chatHost, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 600, "priority": 1, "service": "rating", "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 500}},
		"services": []map[string]any{{"name": "rating", "health_path": "/healthz", "max_connections": 450, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 177932, "weights_mb": 220000.0, "adapter_slots": 8, "loads_per_s": 5.5,
				"models": []map[string]any{{"name": chatModel, "weights_mb": 65100.0, "load_s": 1.2, "adapters": 0, "adapter_mb": 12.0, "warm_s": 0.3, "disk_s": 0.4}}}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
}

// stay is the time that one request spends at one runner.
type stay struct {
	runner  string
	arrived time.Duration
	ended   time.Duration
	// began is when it began to run; 0 if it did not.
	began  time.Duration
	events int
}

// silentRun is the state of the case.
type silentRun struct {
	*setting
	store    *store
	runners  []*runner
	gateways []*gateway

	mu    sync.Mutex
	stays map[string][]*stay
	sent  int
	work  sync.WaitGroup
}

// runSilentRunner sends streams that may be resumed to runners of which one falls silent for a second or so and goes on.
func runSilentRunner(s *setting) (int, error) {
	d := &silentRun{setting: s, stays: map[string][]*stay{}}
	defer func() {
		for _, g := range d.gateways {
			g.end()
		}
	}()
	if err := d.begin(chatRunners, func(i int, r *runner) { r.keepsWorking = i == 0 }); err != nil {
		return notRun, err
	}
	d.drive(d.runners[0])
	return d.judge(), nil
}

// begin starts the store, the runners and three gateways.
func (d *silentRun) begin(count int, configure func(i int, r *runner)) error {
	s := d.setting
	var err error
	if d.store, err = startStore(s.names); err != nil {
		return err
	}
	config, err := chatConfig()
	if err != nil {
		return err
	}
	d.store.put(s.names["topic_config"], s.names["key_config"], config)
	for i := range count {
		r := &runner{names: s.names, store: d.store, rec: s.rec, label: fmt.Sprint("r", i+1), service: "rating", address: "127.0.0.1:0",
			loadFor: 1200 * time.Millisecond, ran: d.ran, arrived: d.arrived, ended: d.ended}
		configure(i, r)
		if err := r.start(chatModel); err != nil {
			return err
		}
		d.runners = append(d.runners, r)
	}
	for i := range 3 {
		g, err := startGateway(s.names, s.root, s.dir, d.store.address(), i+1, "")
		if g != nil {
			d.gateways = append(d.gateways, g)
		}
		if err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(s.names, 10*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// drive sends 40 requests a second in turn to the gateways, and makes the runner fall silent now and then.
func (d *silentRun) drive(r *runner) {
	request, silent := time.NewTicker(25*time.Millisecond), time.NewTicker(silenceGap)
	defer request.Stop()
	defer silent.Stop()
	for end := time.After(silenceGap*(silences+1) - time.Second); ; {
		select {
		case <-request.C:
			d.send()
		case <-silent.C:
			if d.trouble {
				r.fallSilent(silence)
			}
		case <-end:
			d.work.Wait()
			// A runner may still work on a request whose caller has its answer.
			time.Sleep(3 * time.Second)
			return
		}
	}
}

func (d *silentRun) send() {
	d.sent++
	c := &call{id: fmt.Sprint("chat-", d.sent), gateway: d.gateways[d.sent%len(d.gateways)].callers, host: chatHost, path: "/chat/x",
		model: chatModel, prefix: fmt.Sprintf("ca%02d:600,%x:300", d.sent%37, 0x100000+d.sent), timeout: 15 * time.Second}
	d.work.Go(func() {
		c.send(d.names, d.rec)
		d.rec.add("%s at %s: sent %.3f, status %d, %d bytes, error %v", c.id, c.gateway, c.sent.Seconds(), c.status, len(c.answer), c.err)
	})
}

func (d *silentRun) arrived(id string, r *runner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stays[id] = append(d.stays[id], &stay{runner: r.label, arrived: d.rec.now()})
	d.rec.add("%s arrives at %s", id, r.label)
}

// last returns the latest stay of a request at a runner.
func (d *silentRun) last(id string, r *runner) *stay {
	for i := len(d.stays[id]) - 1; i >= 0; i-- {
		if s := d.stays[id][i]; s.runner == r.label {
			return s
		}
	}
	return &stay{}
}

func (d *silentRun) ran(id string, r *runner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last(id, r).began = d.rec.now()
	d.rec.add("%s begins to run at %s", id, r.label)
}

func (d *silentRun) ended(id string, r *runner, events int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.last(id, r)
	s.ended, s.events = d.rec.now(), events
	d.rec.add("%s ends at %s after event %d", id, r.label, events)
}

// judge looks for requests that went on at another runner while the runner before still worked on them.
func (d *silentRun) judge() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved, broken := 0, 0
	for id, stays := range d.stays {
		for i := 1; i < len(stays); i++ {
			before, next := stays[i-1], stays[i]
			moved++
			if before.ended-next.arrived <= overlapAllowed {
				continue
			}
			broken++
			d.rec.add("%s: %s had it from %v, began to run it at %v and worked on it until %v (event %d); %s has had it since %v and began to run it at %v",
				id, before.runner, before.arrived, before.began, before.ended, before.events, next.runner, next.arrived, next.began)
		}
	}
	d.rec.add("requests: %d, of which %d went on at another runner, %d of them while the runner before worked on for more than %v", d.sent, moved, broken, overlapAllowed)
	if broken > 0 {
		d.rec.add("TWICE is broken")
		return ruleBroken
	}
	return ruleHeld
}
