package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// minBegunCrashes is the number of crashes, at whatever moments, after which a part counts as their cause if no runner
	// has ever survived it, the response to a request with it had begun each time and it was at most crashes of that time.
	minBegunCrashes = 2
	// minCrashes is the number of moments with crashes after which any part does.
	minCrashes = 3
	// tieCrashes is the number from which several parts that explain the crashes equally well all count as their cause.
	tieCrashes = 5
	// sameMoment is the time within which crashes count as one, because one fault can end many runners.
	sameMoment = 100 * time.Millisecond
	// minSpacing is the mean time between crashes from which each may be caused by a request of its own; runners that one
	// fault ends are closer.
	minSpacing = 10 * time.Millisecond
	// minShare is the least share of a new part in the crashes between its first and its last one.
	minShare = 0.6
	// entryTime is how long requests with a part are barred. After that they may crash as many runners again as it takes
	// to find the part.
	entryTime = 10 * time.Minute
)

// record is what the crashes tell about one part.
type record struct {
	part string
	// crashes counts the moments at which runners crashed on requests with the part; counted is the last of them.
	crashes int
	counted time.Time
	// begun counts the crashes at which the response to such a request had begun; firstBegun and lastBegun are the first
	// and the last of them.
	begun      int
	firstBegun time.Time
	lastBegun  time.Time
	// last is the last crash, begun or not, and lastNumber the last begun one that was counted.
	last       time.Time
	lastNumber int
	// requests identifies the requests with the part.
	requests []string
}

// culprits returns the entries for the parts that the crashes without an entry point to.
func (j *Judge) culprits(now time.Time) []Entry {
	records := j.records(now)
	var best []*record
	for _, part := range slices.Sorted(maps.Keys(records)) {
		r := records[part]
		if !j.enough(r) {
			continue
		}
		if len(best) > 0 {
			if order := compareRecords(r, best[0]); order < 0 {
				continue
			} else if order > 0 {
				best = nil
			}
		}
		best = append(best, r)
	}
	lastCrash := time.Time{}
	for _, r := range best {
		lastCrash = latest(lastCrash, r.last)
	}
	groups := groupByRequests(best)
	if len(groups) > 1 && best[0].crashes < tieCrashes {
		// The next crash tells them apart.
		return nil
	}
	out := make([]Entry, 0, len(groups))
	for _, parts := range groups {
		out = append(out, Entry{Parts: parts, LastCrash: lastCrash, Until: now.Add(entryTime)})
	}
	return out
}

// records returns a record for each part that no runner has survived since a crash.
func (j *Judge) records(now time.Time) map[string]*record {
	e, out := j.Evidence, map[string]*record{}
	for i, c := range j.unexplained() {
		for k := range c.Requests {
			request := &c.Requests[k]
			for _, part := range request.Parts {
				if e.sound.at(part).After(c.At) || now.Sub(c.reportedAt) < e.settleTime(c, part) {
					continue
				}
				r, ok := out[part]
				if !ok {
					r = &record{part: part}
					out[part] = r
				}
				r.add(c.At, request, i+1)
			}
		}
	}
	return out
}

// add adds a request of the nth crash; crashes are added in the order of their times, from number 1.
func (r *record) add(at time.Time, request *Suspect, n int) {
	r.last = at
	if r.crashes == 0 || at.Sub(r.counted) >= sameMoment {
		r.crashes, r.counted = r.crashes+1, at
	}
	if request.Begun && r.lastNumber != n {
		if r.begun == 0 {
			r.firstBegun = at
		}
		r.begun, r.lastBegun, r.lastNumber = r.begun+1, at, n
	}
	r.requests = append(r.requests, strconv.Itoa(n)+"/"+request.RequestID)
}

// settleTime returns the time after which a crash counts for a part. A late report is one to a new decider, which knows
// little of what runners have survived.
func (e *Evidence) settleTime(c *Crash, part string) time.Duration {
	if e.sound.at(part).IsZero() && c.reportedAt.Sub(c.At) < settleTime {
		return newPartSettleTime
	}
	return settleTime
}

// enough reports whether a part may be taken for the cause.
func (j *Judge) enough(r *record) bool {
	isNew := j.Evidence.sound.at(r.part).IsZero()
	if j.cautious {
		return isNew && r.begun >= minCrashes && r.crashes >= minCrashes
	}
	return r.crashes >= minCrashes || (isNew && r.begun >= minBegunCrashes && j.standsOut(r))
}

// standsOut reports whether a part was at most of the crashes of its time, and these came one by one.
func (j *Judge) standsOut(r *record) bool {
	span := r.lastBegun.Sub(r.firstBegun)
	if span < minSpacing*time.Duration(r.begun-1) {
		return false
	}
	all := 0
	for _, c := range j.unexplained() {
		if !c.At.Before(r.firstBegun) && !c.At.After(r.lastBegun) {
			all++
		}
	}
	return float64(r.begun) >= minShare*float64(all)
}

// compareRecords is positive if a explains the crashes better than b.
func compareRecords(a, b *record) int {
	if a.crashes != b.crashes {
		return a.crashes - b.crashes
	}
	return a.begun - b.begun
}

// groupByRequests groups the parts that came in exactly the same requests.
func groupByRequests(records []*record) [][]string {
	groups := map[string][]string{}
	for _, r := range records {
		requests := slices.Compact(slices.Sorted(slices.Values(r.requests)))
		key := strings.Join(requests, ",")
		groups[key] = append(groups[key], r.part)
	}
	var out [][]string
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, groups[key])
	}
	return out
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
