package gateway

import (
	"maps"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
)

// mayOffer reports whether the request may be sent to another server while its own is silent. As long as that one may go on
// and keep the request, a refusal and a failed connection are left for the case that it fails.
func (p *progress) mayOffer(maxAttempts int, mayGoOn bool) bool {
	if mayGoOn {
		return p.sent+1 < maxAttempts && p.refused < maxRefusals && p.unreached < maxUnreachedAttempts
	}
	return (p.sent+1 < maxAttempts || len(p.mayRepeat) > 0) && p.refused <= maxRefusals && p.unreached <= maxUnreachedAttempts
}

// offerJob returns the request for the choice of another server. Servers that have declined it, or did not answer in time,
// are asked again only if the silent one is presumed dead.
func (p *progress) offerJob(j *job, silent string, mayGoOn bool) *job {
	other := *j
	other.tried, other.extraAttempt = maps.Clone(j.tried), true
	if mayGoOn {
		maps.Copy(other.tried, p.mayRepeat)
	} else {
		other.only = p.onlyServers(p.sent+1, j.route.MaxAttempts)
		maps.DeleteFunc(other.tried, func(server string, _ bool) bool { return p.declined[server] })
	}
	other.tried[silent] = true
	return &other
}

// onlyServers returns the servers that may get the request if the given number of servers may have executed it; nil for all.
func (p *progress) onlyServers(sent, maxAttempts int) map[string]bool {
	if sent < maxAttempts || len(p.mayRepeat) == 0 {
		return nil
	}
	return p.mayRepeat
}

// attemptsUsed returns how many attempts of the route are used up for the choice of the next server.
func (p *progress) attemptsUsed() int {
	if len(p.mayRepeat) > 0 {
		return p.sent - 1
	}
	return p.sent
}

// recordDeclined records that a server did not take the request of a silent one.
func (p *progress) recordDeclined(j *job, server string, a attemptResult) {
	p.record(server, a)
	j.tried[server] = true
	if a.fail.Outcome == failure.NotRun {
		if p.declined == nil {
			p.declined = map[string]bool{}
		}
		p.declined[server] = true
	}
}

// recordWithdrawn counts a server that lost the request although it may have begun to work on it.
func (p *progress) recordWithdrawn(server string) {
	p.outcome = verdict.Combine(p.outcome, failure.Unknown)
	p.countServer(server)
	p.allowRepeat(server)
}

// allowRepeat records that the request may be sent again to a server that is counted.
func (p *progress) allowRepeat(server string) {
	if p.mayRepeat == nil {
		p.mayRepeat = map[string]bool{}
	}
	p.mayRepeat[server] = true
}

// countServer counts a server that may have executed the request, once.
func (p *progress) countServer(server string) {
	if !p.mayRepeat[server] {
		p.sent++
	}
}
