package bench

import (
	"fmt"
	"strings"
	"time"
)

// attainmentInterval is the length of one interval of the attainment over time.
const attainmentInterval = 5 * time.Second

// AttainmentPoint is the attainment of the generations that arrived in one interval of a run.
type AttainmentPoint struct {
	// Start is the start of the interval, counted from the start of the load, in nanoseconds.
	Start time.Duration `json:"from_ns"`
	Share
}

// attainmentOverTime returns the attainment of generations by time of arrival, in intervals of attainmentInterval up to
// end. Intervals without arrivals are left out.
func attainmentOverTime(observations []*Observation, end time.Duration) []AttainmentPoint {
	parts := make([]AttainmentPoint, int((end+attainmentInterval-1)/attainmentInterval))
	for _, o := range observations {
		i := int(o.Arrival.At / attainmentInterval)
		if o.Arrival.Class != ServiceCall && i < len(parts) {
			parts[i].add(o.attained())
		}
	}
	var out []AttainmentPoint
	for i, p := range parts {
		p.Start = time.Duration(i) * attainmentInterval
		if p.Requests > 0 {
			out = append(out, p)
		}
	}
	return out
}

func (r *Result) writeAttainmentOverTime(b *strings.Builder) {
	fmt.Fprintf(b, "attainment by time of arrival:")
	for _, p := range r.AttainmentOverTime {
		fmt.Fprintf(b, " %v %.3f/%d", p.Start, p.Share.Share, p.Requests)
	}
	b.WriteByte('\n')
	if r.Flood != "" {
		fmt.Fprintf(b, "members other than %s: %.4f of %d\n", r.Flood, r.OtherMembers.Share, r.OtherMembers.Requests)
	}
}
