package main

import (
	"strings"
	"time"
)

const (
	// crashRounds is the number of runners that crash, one every crashGap, each away for returnTime.
	crashRounds = 5
	crashGap    = 6 * time.Second
)

// runCrashUnframed sends streams to runners whose answers end with their connections, and crashes one runner at a time.
func runCrashUnframed(s *setting) (int, error) {
	d := &deadlyRun{setting: s, began: map[string]bool{}, unframed: true}
	if err := d.begin(); err != nil {
		d.end()
		return notRun, err
	}
	defer d.end()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.crashInTurn()
	}()
	models := []string{"busy-1", "busy-2", "busy-3", rareModel}
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(70 * time.Millisecond):
			d.start("other", models[d.sent%len(models)], "b0b%d:600,%x:300")
		}
	}
	d.work.Wait()
	return d.judgeStreams(), nil
}

// crashInTurn crashes one runner after the other, each while it is at work.
func (d *deadlyRun) crashInTurn() {
	for n := range crashRounds {
		time.Sleep(crashGap)
		if !d.trouble {
			continue
		}
		r := d.runners[1+n]
		for in := r.current(); in.requests() == 0; {
			time.Sleep(5 * time.Millisecond)
		}
		r.crash(r.current(), d.resets)
		d.crashed(r)
	}
	time.Sleep(crashGap)
}

// judgeStreams looks for answers that ended as complete before their last event.
func (d *deadlyRun) judgeStreams() int {
	short, whole, failed := 0, 0, 0
	for _, c := range d.calls {
		events := strings.Count(c.answer, "data:")
		switch {
		case c.status != 200 || c.err != nil:
			failed++
		case events < streamEvents:
			short++
			d.rec.add("%s ended as complete after %d of %d events", c.id, events, streamEvents)
		default:
			whole++
		}
	}
	d.rec.add("crashes: %d; answers: %d whole, %d failed, %d ended as complete before their last event", len(d.crashes), whole, failed, short)
	if short > 0 {
		d.rec.add("ORDER is broken")
		return ruleBroken
	}
	if !d.trouble && failed > 0 {
		return ruleBroken
	}
	return ruleHeld
}
