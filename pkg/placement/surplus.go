package placement

import (
	"time"

	"trefoilferry.example/ferry/pkg/object"
)

const (
	// valueHorizon is the period over which the value of a surplus copy is counted; shifts of demand that matter last
	// minutes.
	valueHorizon = 5 * time.Minute
	// maxDemandAge is the age up to which a hint counts.
	maxDemandAge = 10 * time.Second
	// moveCostRequests is the cost of one load or eviction, in requests. It prevents moves for very low demand.
	moveCostRequests = 20.0
	// hysteresis is the factor by which the value must exceed the cost, so that copies do not move back and forth.
	hysteresis = 1.5
	// minResidency is how long a surplus copy is kept before another demand may replace it.
	minResidency = 2 * time.Minute
)

// planSurplus adds at most one surplus copy on the agent's own runner, for the demand with the highest net value.
func (f *fleet) planSurplus(out *PlanOutput) {
	if len(f.in.Demands) == 0 {
		return
	}
	self, ok := f.self()
	if !ok || len(out.Claims) > 0 || len(out.Releases) > 0 || f.allocation(self.Name).openClaims > 0 {
		return
	}
	var best *object.Model
	var victims []victim
	bestNet := 0.0
	for _, d := range f.in.Demands {
		m, net, chosen, ok := f.netValue(self, d)
		if ok && net > bestNet {
			best, victims, bestNet = m, chosen, net
		}
	}
	if best == nil {
		return
	}
	for _, v := range victims {
		out.Releases = append(out.Releases, PlannedRelease{Claim: v.copy.ClaimOffset, Keep: v.keep})
	}
	if len(victims) == 0 {
		out.Claims = append(out.Claims, PlannedClaim{Model: best.Name, Version: best.Version, Bytes: best.MemoryBytes,
			Wanted: uint32(wantedCopies(best))})
	}
}

func (f *fleet) self() (Runner, bool) {
	for _, r := range f.targets() {
		if r.Name == f.in.Self {
			return r, true
		}
	}
	return Runner{}, false
}

// netValue returns the net value, in requests, of a surplus copy for a demand, and the copies to release for it.
func (f *fleet) netValue(self Runner, d Demand) (*object.Model, float64, []victim, bool) {
	m, published := f.in.Config.Model(d.Model)
	if !published || f.in.Now.Sub(d.At) > maxDemandAge || !f.canPlace(self, m) || f.hasOpenLoad(m) {
		return nil, 0, nil, false
	}
	victims, lostRate, ok := f.surplusVictims(self, m)
	if !ok {
		return nil, 0, nil, false
	}
	value := d.UnmetPerSecond * max(0, (valueHorizon-f.loadTime(m)).Seconds())
	cost := moveCostRequests*float64(1+len(victims)) + lostRate*valueHorizon.Seconds()
	net := value - hysteresis*cost
	return m, net, victims, net > 0
}

// hasOpenLoad reports whether a copy of the model is already being loaded; the next hint then shows what is still
// unmet.
func (f *fleet) hasOpenLoad(m *object.Model) bool {
	for _, c := range f.in.Snapshot.Copies(m.Name) {
		if c.State == Claimed {
			return true
		}
	}
	return false
}

func (f *fleet) loadTime(m *object.Model) time.Duration {
	if f.in.LoadBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(m.MemoryBytes) / f.in.LoadBytesPerSecond * float64(time.Second))
}

// surplusVictims returns the least used surplus copies to release so that the model fits, and their total request
// rate.
func (f *fleet) surplusVictims(self Runner, m *object.Model) ([]victim, float64, bool) {
	available := min(f.in.FreeBytes, f.freeBytes(self))
	var chosen []victim
	rate := 0.0
	for _, v := range f.victims(self, belowMinimum) {
		if available >= m.MemoryBytes {
			break
		}
		if f.in.Now.Sub(f.usage(v.copy).ReadySince) < minResidency {
			continue
		}
		available += v.copy.Bytes
		rate += f.usage(v.copy).RatePerSecond
		chosen = append(chosen, v)
	}
	return chosen, rate, available >= m.MemoryBytes
}
