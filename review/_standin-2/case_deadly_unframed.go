package main

import "strings"

// maxDeadlyArrivals is the number of deadly requests that may reach runners later than stability after the fifth crash.
const maxDeadlyArrivals = 3

// runDeadlyUnframed is runDeadlyPart with runners whose answers end with their connections, and without another crash.
// Runners write the first event of an answer and then crash.
func runDeadlyUnframed(s *setting) (int, error) {
	d := &deadlyRun{setting: s, began: map[string]bool{}, unframed: true}
	if err := d.begin(); err != nil {
		d.end()
		return notRun, err
	}
	defer d.end()
	d.drive()
	return d.judgeArrivals(), nil
}

// judgeArrivals counts the deadly requests that reached runners later than stability after the fifth crash.
func (d *deadlyRun) judgeArrivals() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.add("crashes: %d at %v", len(d.crashes), d.crashes)
	if !d.trouble {
		for _, c := range d.calls {
			if c.status != 200 || c.err != nil {
				d.rec.add("%s failed without a deadly request", c.id)
				return ruleBroken
			}
		}
		return ruleHeld
	}
	if len(d.crashes) < 5 {
		return ruleHeld
	}
	late := 0
	for _, at := range d.arrivals {
		if at > d.crashes[4]+stability {
			late++
		}
	}
	d.rec.add("deadly requests that reached runners later than %v: %d", d.crashes[4]+stability, late)
	whole, broken := d.countStreams()
	d.rec.add("requests without the deadly part that were sent later than that: %d had the whole answer, %d did not", whole, broken)
	if late > maxDeadlyArrivals {
		d.rec.add("BUDGET is broken")
		return ruleBroken
	}
	return ruleHeld
}

// countStreams counts the requests without the deadly part, sent later than stability after the fifth crash, whose callers
// got all events and those whose callers did not.
func (d *deadlyRun) countStreams() (whole, broken int) {
	for _, c := range d.calls {
		switch {
		case strings.HasPrefix(c.id, "deadly-") || c.sent < d.crashes[4]+stability:
		case c.status == 200 && c.err == nil && strings.Count(c.answer, "data:") == streamEvents:
			whole++
		default:
			broken++
		}
	}
	return whole, broken
}
