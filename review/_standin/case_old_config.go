package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// outageTime is how long the store turns all calls away; the site has 8 s.
	outageTime = 4500 * time.Millisecond
	// writeDelay and dropDelay are the times from the store's return to the new configuration and to the loss of its
	// history.
	writeDelay = 100 * time.Millisecond
	dropDelay  = 200 * time.Millisecond
	// applyBound and touchTime are config_apply_ms and stability_window_ms.
	applyBound = 2500 * time.Millisecond
	touchTime  = 4 * time.Second
	// outages is how often all this happens, outageGap the time between two of them.
	outages   = 4
	outageGap = 17 * time.Second
	// startTime is how long the gateways run before the first one.
	startTime = 5 * time.Second
)

// move is a configuration that sends bookings to another service.
type move struct {
	version int
	service string
	acked   time.Time
	// judgedFrom is when a request has to be handled by this configuration.
	judgedFrom time.Time
	// judgedTo is when the next outage begins.
	judgedTo time.Time
}

// oldConfig: the store is away for some seconds, takes a new configuration after its return, and then forgets its history.
// The configuration sends bookings to another service; each booking that the old one runs later than the bound is one too
// many.
func oldConfig(w *world) (bool, error) {
	desks := []string{"order-desk", "new-desk"}
	if err := w.putConfigWith(1, desks[0]); err != nil {
		return false, err
	}
	for _, service := range desks {
		for n := range 2 {
			if _, err := w.addRunner(fmt.Sprintf("%s-%d", service, n+1), service); err != nil {
				return false, err
			}
		}
	}
	for n := range 2 {
		if _, err := w.addGateway(fmt.Sprintf("front-%d", n+1)); err != nil {
			return false, err
		}
	}
	sentAt := map[string]time.Time{}
	var wait sync.WaitGroup
	done := make(chan struct{})
	wait.Go(func() {
		for n := 0; ; n++ {
			id := fmt.Sprintf("booking-%04d", n)
			sentAt[id] = time.Now()
			wait.Go(func() {
				w.send(w.gateways[n%len(w.gateways)], call{id: id, method: http.MethodPost, path: "/book/crew", body: "crew for " + id, timeout: 2 * time.Second})
			})
			select {
			case <-done:
				return
			case <-time.After(bookingInterval):
			}
		}
	})
	time.Sleep(startTime)
	moves, err := w.moveBookings(desks)
	close(done)
	wait.Wait()
	if err != nil {
		return false, err
	}
	return w.checkMoves(moves, sentAt), nil
}

// moveBookings moves bookings to and fro between the services, after an outage each time.
func (w *world) moveBookings(desks []string) ([]move, error) {
	var moves []move
	for n := range outages {
		if w.trouble {
			w.record.line("store    turns all calls away for %v", outageTime)
			w.store.setBusy(true)
		}
		time.Sleep(outageTime)
		w.store.setBusy(false)
		w.record.line("store    is back")
		time.Sleep(writeDelay)
		m := move{version: n + 2, service: desks[(n+1)%len(desks)]}
		if err := w.putConfigWith(m.version, m.service); err != nil {
			return nil, err
		}
		m.acked = time.Now()
		w.record.line("config   version %d sends bookings to %s", m.version, m.service)
		time.Sleep(dropDelay - writeDelay)
		if w.trouble {
			w.store.dropHistory()
			w.record.line("store    has forgotten its history")
		}
		m.judgedFrom = m.acked.Add(applyBound)
		if calm := time.Now().Add(touchTime); w.trouble && calm.After(m.judgedFrom) {
			m.judgedFrom = calm
		}
		w.record.line("config   version %d counts for bookings from %.3f s on", m.version, m.judgedFrom.Sub(w.record.begin).Seconds())
		time.Sleep(outageGap - outageTime)
		m.judgedTo = time.Now()
		moves = append(moves, m)
	}
	return moves, nil
}

// checkMoves checks that no booking that was sent in the time of a configuration was run by another service.
func (w *world) checkMoves(moves []move, sentAt map[string]time.Time) bool {
	held := true
	for id, at := range sentAt {
		for _, m := range moves {
			if at.Before(m.judgedFrom) || at.After(m.judgedTo) {
				continue
			}
			for _, one := range w.runs.of(id) {
				if !strings.HasPrefix(one.runner, m.service+"-") {
					held = false
					w.record.line("broken   CONFIG: %s, sent %v after version %d was acknowledged, ran at %s; the version sends it to %s", id,
						at.Sub(m.acked).Round(time.Millisecond), m.version, one.runner, m.service)
				}
			}
		}
	}
	return held
}
