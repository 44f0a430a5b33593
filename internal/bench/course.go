package bench

import (
	"fmt"
	"strings"
	"time"
)

// courseStep is the length of one part of the course.
const courseStep = 5 * time.Second

// CoursePart is the attainment of the generations that arrived in one part of a run.
type CoursePart struct {
	// From is the time since the first arrival of the run, in nanoseconds.
	From time.Duration `json:"from_ns"`
	Share
}

// courseOf returns the attainment over time in parts of courseStep; parts before the first observation are left out.
func courseOf(observations []*Observation, end time.Duration) []CoursePart {
	parts := make([]CoursePart, int((end+courseStep-1)/courseStep))
	for _, o := range observations {
		i := int(o.Arrival.At / courseStep)
		if o.Arrival.Class != ServiceCall && i < len(parts) {
			parts[i].add(o.attained())
		}
	}
	var out []CoursePart
	for i, p := range parts {
		p.From = time.Duration(i) * courseStep
		if p.Requests > 0 {
			out = append(out, p)
		}
	}
	return out
}

func (r *Result) writeCourse(b *strings.Builder) {
	fmt.Fprintf(b, "attainment by time of arrival:")
	for _, p := range r.Course {
		fmt.Fprintf(b, " %v %.3f/%d", p.From, p.Share.Share, p.Requests)
	}
	b.WriteByte('\n')
	if r.Flood != "" {
		fmt.Fprintf(b, "members other than %s: %.4f of %d\n", r.Flood, r.Others.Share, r.Others.Requests)
	}
}
