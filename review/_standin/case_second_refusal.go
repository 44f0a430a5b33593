package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// crashes is how often the runner crashes.
	crashes = 5
	// crashTime is how long it is down; the site has crashes of 2 to 4.85 s.
	crashTime = time.Second
	// upTime is how long it is up between two crashes.
	upTime = 12 * time.Second
	// silentBeats is the number of heartbeats after which the platform removes the entry of a silent runner.
	silentBeats = 3
	// bookingInterval and statusInterval are the times between two requests; the site has 15.5 and 8 a second.
	bookingInterval = 65 * time.Millisecond
	statusInterval  = 125 * time.Millisecond
	// maxCopyShare is the share of the runner's answers that have a second copy, copyChance that of a refused booking as
	// long as there are fewer.
	maxCopyShare = 0.03
	copyChance   = 0.3
	deskRunners  = 4
)

// secondRefusal: one of four runners of the booking service crashes a few times. It is back after crashTime, at its address and
// under a new id, while the entry of its earlier start is still listed. Requests for that start it refuses with 421, and it
// sends a few of its answers a second time, late.
func secondRefusal(w *world) (bool, error) {
	if err := w.putConfig(1); err != nil {
		return false, err
	}
	var first *runner
	for n := range deskRunners {
		// Among idle runners, the gateway takes the one whose id comes first. The ids are the platform's to give.
		r, err := w.addRunner(newID(strconv.Itoa(n+1)), "order-desk")
		if err != nil {
			return false, err
		}
		if n == 0 {
			first = r
		}
	}
	g, err := w.addGateway("front-1")
	if err != nil {
		return false, err
	}
	stop := time.Now().Add(upTime + crashes*(crashTime+upTime))
	if w.trouble {
		go w.crashRepeatedly(first)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	wait.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			wait.Go(func() {
				w.send(g, call{id: fmt.Sprintf("status-%04d", n), method: http.MethodGet, path: "/status/crew", timeout: 2 * time.Second})
			})
			time.Sleep(statusInterval)
		}
	})
	for n := 0; time.Now().Before(stop); n++ {
		id := fmt.Sprintf("booking-%04d", n)
		wait.Go(func() {
			r := w.send(g, call{id: id, method: http.MethodPost, path: "/book/crew", body: "crew for " + id, timeout: 2 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, r)
		})
		time.Sleep(bookingInterval)
	}
	wait.Wait()
	return w.checkOnce(replies), nil
}

// newID returns an id for a start of a runner.
func newID(begin string) string { return fmt.Sprintf("i-%s%07x", begin, rand.Uint32()>>4) }

// checkOnce checks that requests that may not be repeated ran once at most, and not at all if the answer promises that.
func (w *world) checkOnce(replies []reply) bool {
	held := true
	for _, r := range replies {
		all := w.runs.of(r.id)
		if len(all) > 1 {
			held = false
			w.record.line("broken   TWICE: %s ran %d times, at %s and %s", r.id, len(all), all[0].runner, all[1].runner)
		}
		if refused(r.status) && len(all) > 0 {
			held = false
			w.record.line("broken   REFUSED: %s was answered with %d and ran at %s", r.id, r.status, all[0].runner)
		}
	}
	return held
}

// refused reports whether a status promises that the request has not run and never will.
func refused(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// crashRepeatedly lets a runner crash and start again with a new id at its address.
func (w *world) crashRepeatedly(r *runner) {
	answers, copies := 0, 0
	for range crashes {
		time.Sleep(upTime)
		r.crash()
		answers += r.answered()
		old, crashed := r.id, time.Now()
		time.AfterFunc(time.Until(r.beatAt.Add(silentBeats*heartbeat)), func() {
			w.record.line("entry    of %s is removed, %v after the crash", old, time.Since(crashed).Round(time.Millisecond))
			w.store.put(w.names.get("topic_servers"), old, nil)
		})
		time.Sleep(crashTime)
		next := &runner{names: w.names, record: w.record, runs: w.runs, store: w.store, id: newID("1"), service: r.service}
		before := answers
		next.copies = func(x *exchange, status int) bool {
			if status != http.StatusMisdirectedRequest || x.request.Method != http.MethodPost || rand.Float64() > copyChance ||
				float64(copies+1) > maxCopyShare*float64(before+next.answers) {
				return false
			}
			copies++
			return true
		}
		if err := startRunner(next, r.address); err != nil {
			w.record.line("error    %v", err)
			return
		}
		w.record.line("runner %s of %s at %s, where %s was; %d answers and %d copies so far", next.id, next.service, next.address, r.id, answers, copies)
		r = next
	}
}
