package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	deadlyHost = "desk.example"
	deadlyPath = "/draft/"
	// rareModel is held by one runner, as models that few ask for.
	rareModel = "rare"
	// callerPart is the first prompt part of the caller, deadlyPart the one on which runners crash.
	callerPart = "ca11e4"
	deadlyPart = "dead00"
	// stability is stability_window_ms of the settings.
	stability = 4 * time.Second
	// returnTime is how long a crashed runner is away.
	returnTime = 3 * time.Second

	// deadlyDelay is the time from the crash of a runner to the first deadly request.
	deadlyDelay = 200 * time.Millisecond
	calmTime    = 10 * time.Second
	troubleTime = 60 * time.Second
)

func deadlyConfig() ([]byte, error) {
	models := []map[string]any{}
	for _, name := range []string{"busy-1", "busy-2", "busy-3", rareModel} {
		models = append(models, map[string]any{"name": name, "weights_mb": 60000.0, "load_s": 1.2, "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.4, "disk_s": 0.5})
	}
	return json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "draft", "host": deadlyHost, "path_prefix": deadlyPath, "kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 1000, "priority": 1, "service": "spec", "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 600}},
		"services": []map[string]any{{"name": "spec", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 232000, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 2.1, "models": models}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
}

// deadlyRun is the state of the case.
type deadlyRun struct {
	*setting
	store    *store
	gateways []*gateway
	runners  []*runner

	mu sync.Mutex
	// unframed makes the runners answer with neither a length nor chunks.
	unframed bool

	crashes []time.Duration
	// arrivals are when deadly requests arrived at runners.
	arrivals []time.Duration
	began    map[string]bool
	calls    []*call
	work     sync.WaitGroup
	sent     int
}

// runDeadlyPart sends requests of one caller to a model that one runner holds, and from calmTime on also ones with a part
// that crashes each runner that begins to answer them.
func runDeadlyPart(s *setting) (int, error) {
	d := &deadlyRun{setting: s, began: map[string]bool{}}
	if err := d.begin(); err != nil {
		return notRun, err
	}
	defer d.end()
	d.drive()
	return d.judge(), nil
}

// begin starts the store, the runners and the gateways.
func (d *deadlyRun) begin() error {
	s := d.setting
	var err error
	if d.store, err = startStore(s.names); err != nil {
		return err
	}
	config, err := deadlyConfig()
	if err != nil {
		return err
	}
	d.store.put(s.names["topic_config"], s.names["key_config"], config)
	for i, models := range [][]string{{rareModel}, {"busy-1", "busy-2"}, {"busy-2", "busy-3"}, {"busy-3", "busy-1"}, {"busy-1", "busy-2"}, {"busy-2", "busy-3"}} {
		r := &runner{names: s.names, store: d.store, rec: s.rec, label: fmt.Sprint("r", i+1), service: "spec", address: "127.0.0.1:0",
			loadFor: 1200 * time.Millisecond, deadly: deadlyPart, crashed: d.crashed, ran: d.ran, arrived: d.arrived,
			unframed: d.unframed, beginsFirst: d.unframed, resets: !d.unframed || d.resets}
		if err := r.start(models...); err != nil {
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

// end ends the processes.
func (d *deadlyRun) end() {
	for _, g := range d.gateways {
		g.end()
	}
}

func (d *deadlyRun) arrived(id string, _ *runner) {
	if strings.HasPrefix(id, "deadly-") {
		d.mu.Lock()
		d.arrivals = append(d.arrivals, d.rec.now())
		d.mu.Unlock()
	}
}

func (d *deadlyRun) crashed(r *runner) {
	d.mu.Lock()
	d.crashes = append(d.crashes, d.rec.now())
	d.mu.Unlock()
	time.AfterFunc(returnTime, func() {
		if err := r.start(); err != nil {
			d.rec.add("runner %s cannot start: %v", r.label, err)
		}
	})
}

// crashRareRunner crashes the runner of the rare model while a request is at work there.
func (d *deadlyRun) crashRareRunner() {
	r := d.runners[0]
	for r.current().requests() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	r.crash(r.current(), true)
	time.AfterFunc(returnTime, func() {
		if err := r.start(); err != nil {
			d.rec.add("runner %s cannot start: %v", r.label, err)
		}
	})
}

func (d *deadlyRun) ran(id string, r *runner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.began[id] = true
	d.rec.add("run %s at %s", id, r.label)
}

// drive sends sound requests all the time, and deadly ones after calmTime.
func (d *deadlyRun) drive() {
	begin := time.Now()
	sound, busy, deadly := time.NewTicker(250*time.Millisecond), time.NewTicker(200*time.Millisecond), time.NewTicker(400*time.Millisecond)
	defer sound.Stop()
	defer busy.Stop()
	defer deadly.Stop()
	end, crash := time.After(calmTime+troubleTime), time.After(calmTime)
	for {
		select {
		case <-crash:
			if d.trouble && !d.unframed {
				go d.crashRareRunner()
			}
		case <-sound.C:
			d.start("sound", rareModel, callerPart+":600,%x:300")
		case <-busy.C:
			d.start("other", fmt.Sprint("busy-", 1+d.sent%3), "b0b%d:600,%x:300")
		case <-deadly.C:
			if d.trouble && time.Since(begin) > calmTime+deadlyDelay {
				d.start("deadly", rareModel, callerPart+":600,"+deadlyPart+":150,%x:150")
			}
		case <-end:
			d.work.Wait()
			return
		}
	}
}

// start sends a request of a kind to the next gateway in turn.
func (d *deadlyRun) start(kind, model, prefix string) {
	d.sent++
	last := 0x100000 + d.sent
	if kind == "other" {
		prefix = fmt.Sprintf(prefix, d.sent%3, last)
	} else {
		prefix = fmt.Sprintf(prefix, last)
	}
	c := &call{id: fmt.Sprintf("%s-%d", kind, d.sent), gateway: d.gateways[d.sent%len(d.gateways)].callers, host: deadlyHost,
		path: deadlyPath + "x", model: model, prefix: prefix, timeout: 6 * time.Second}
	d.calls = append(d.calls, c)
	d.work.Go(func() {
		c.send(d.names, d.rec)
		d.rec.add("%s at %s: sent %.3f, status %d, %d bytes, error %v", c.id, c.gateway, c.sent.Seconds(), c.status, len(c.answer), c.err)
	})
}

// judge compares how often sound requests begin in calm time and from two stability windows after the fifth crash on.
func (d *deadlyRun) judge() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := calmTime
	if len(d.crashes) > 0 {
		from = d.crashes[min(len(d.crashes), 5)-1] + 2*stability
	}
	var calm, calmBegan, later, laterBegan int
	for _, c := range d.calls {
		if !strings.HasPrefix(c.id, "sound-") {
			continue
		}
		switch {
		case len(d.crashes) == 0 || c.sent < d.crashes[0]-time.Second:
			calm++
			if d.began[c.id] {
				calmBegan++
			}
		case c.sent >= from:
			later++
			if d.began[c.id] {
				laterBegan++
			}
		}
	}
	d.rec.add("crashes: %d at %v", len(d.crashes), d.crashes)
	d.rec.add("sound requests in calm time: %d, of which %d began to run; from %v on: %d, of which %d began to run", calm, calmBegan, from, later, laterBegan)
	if !d.trouble {
		if calmBegan*10 < calm*9 {
			return ruleBroken
		}
		return ruleHeld
	}
	if calm < 20 || later < 20 {
		return notRun
	}
	if float64(laterBegan)/float64(later) < 0.5*float64(calmBegan)/float64(calm) {
		d.rec.add("LOST is broken")
		return ruleBroken
	}
	return ruleHeld
}
