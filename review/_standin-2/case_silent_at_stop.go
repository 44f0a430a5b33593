package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// longEvents is the number of events of a stream; one takes eventInterval.
	longEvents = 60
	// stopRounds is the number of planned stops, stopStreams that of the streams in progress at each.
	stopRounds  = 6
	stopStreams = 5
	// stopSilence is how long a runner falls silent.
	stopSilence = 1500 * time.Millisecond
	// stopRunners is the number of runners.
	stopRunners = 4
)

// runSilentAtStop stops one gateway after the other while streams are in progress there, and makes the runner of the streams
// fall silent for a second or so. The other runners are full meanwhile.
func runSilentAtStop(s *setting) (int, error) {
	d := &silentRun{setting: s, stays: map[string][]*stay{}}
	defer func() {
		for _, g := range d.gateways {
			g.end()
		}
	}()
	if err := d.begin(stopRunners, func(_ int, r *runner) { r.events = longEvents }); err != nil {
		return notRun, err
	}
	lost, whole, other := 0, 0, 0
	for round := range stopRounds {
		n := round % len(d.gateways)
		for _, c := range d.stopRound(n, round) {
			switch {
			case c.err != nil:
				lost++
				d.rec.add("%s: connection ended without a complete answer after %d of %d events: %v", c.id, strings.Count(c.answer, "data:"), longEvents, c.err)
			case c.status == 200 && strings.Count(c.answer, "data:") == longEvents:
				whole++
			default:
				other++
			}
		}
		g, err := startGateway(s.names, s.root, s.dir, d.store.address(), n+1, "")
		if g != nil {
			d.gateways[n] = g
		}
		if err != nil {
			return notRun, err
		}
		if err := g.awaitReady(s.names, 10*time.Second); err != nil {
			return notRun, err
		}
		// No disruption within stability before the next round.
		time.Sleep(stability)
	}
	d.rec.add("streams in progress at planned stops: %d whole, %d ended without a complete answer, %d other answers", whole, lost, other)
	if lost > 0 {
		d.rec.add("LOST is broken")
		return ruleBroken, nil
	}
	if whole == 0 {
		return notRun, nil
	}
	return ruleHeld, nil
}

// stopRound starts streams at a gateway and stops it. The runner with most of the streams falls silent and the others become
// full. It returns the streams when all have ended.
func (d *silentRun) stopRound(n, round int) []*call {
	var calls []*call
	var streams sync.WaitGroup
	for i := range stopStreams {
		c := &call{id: fmt.Sprintf("stop-%d-%d", round+1, i+1), gateway: d.gateways[n].callers, host: chatHost, path: "/chat/x",
			model: chatModel, prefix: fmt.Sprintf("ca%02d:600,%x:300", round, 0x100000+round*100+i), timeout: 15 * time.Second}
		calls = append(calls, c)
		streams.Go(func() {
			c.send(d.names, d.rec)
			d.rec.add("%s at %s: sent %.3f, status %d, %d events, error %v", c.id, c.gateway, c.sent.Seconds(), c.status, strings.Count(c.answer, "data:"), c.err)
		})
	}
	time.Sleep(600 * time.Millisecond)
	r := d.busiest()
	for _, other := range d.runners {
		other.full.Store(other != r)
	}
	d.rec.add("%s gets SIGTERM with %d streams in progress at %s; the other runners are full", d.gateways[n].name, r.current().requests(), r.label)
	if d.trouble {
		time.AfterFunc(200*time.Millisecond, func() { r.fallSilent(stopSilence) })
	}
	d.gateways[n].stop()
	d.rec.add("%s has ended", d.gateways[n].name)
	streams.Wait()
	for _, other := range d.runners {
		other.full.Store(false)
	}
	return calls
}

// busiest returns the runner with most requests at work.
func (d *silentRun) busiest() *runner {
	best := d.runners[0]
	for _, r := range d.runners {
		if r.current().requests() > best.current().requests() {
			best = r
		}
	}
	return best
}
