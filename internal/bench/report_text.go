package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	// maxShownBreaches and maxShownMembers limit the entries in a text report; the JSON report has all.
	maxShownBreaches = 20
	maxShownMembers  = 8
)

// WriteText writes the report as text. It is meant for runs that passed the lateness check.
func (r *Result) WriteText(w io.Writer) error {
	var b strings.Builder
	r.writeHead(&b)
	r.writeAttainment(&b)
	r.writeAttainmentOverTime(&b)
	r.writeTimes(&b)
	r.writeCounts(&b)
	r.writeUsage(&b)
	r.writeBreaches(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Result) writeHead(b *strings.Builder) {
	fmt.Fprintf(b, "profile %s, policy %s, %.4g requests/s for %v (first %v not measured), seed %d\n",
		r.Profile, r.Policy, r.Rate, r.Duration, r.Warmup, r.Seed)
	fmt.Fprintf(b, "%d requests measured on %d accelerators\n", r.Requests, r.Accelerators)
	for _, f := range r.Faults {
		fmt.Fprintf(b, "fault %s\n", f)
	}
}

func (r *Result) writeAttainment(b *strings.Builder) {
	a := r.Attainment
	fmt.Fprintf(b, "attainment %.4f, per accelerator %.5f, attained requests/s per accelerator %.4f\n",
		a.Total.Share, a.SharePerAccelerator, a.AttainedPerSecondPerAccelerator)
	for _, c := range Classes() {
		if s := a.ByClass[c]; s != nil {
			fmt.Fprintf(b, "  %-9s %.4f of %d\n", c, s.Share, s.Requests)
		}
	}
	fmt.Fprintf(b, "fairness over %d members: min %.4f (%s), max %.4f, min/max %.4f\n",
		a.Fairness.Members, a.Fairness.Min, a.Fairness.MinMember, a.Fairness.Max, a.Fairness.Ratio)
	names := slices.SortedFunc(maps.Keys(a.ByMember), func(x, y string) int { return missed(a.ByMember[y]) - missed(a.ByMember[x]) })
	for _, name := range names[:min(len(names), maxShownMembers)] {
		fmt.Fprintf(b, "  %-24s %.4f of %d\n", name, a.ByMember[name].Share, a.ByMember[name].Requests)
	}
}

func missed(s *Share) int { return s.Requests - s.Attained }

func (r *Result) writeTimes(b *strings.Builder) {
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"mean between, per request", r.BetweenTokensRequestMean}} {
		fmt.Fprintf(b, "%-26s p50 %s  p90 %s  p95 %s  p99 %s  max %s\n",
			row.name, millis(row.q.P50), millis(row.q.P90), millis(row.q.P95), millis(row.q.P99), millis(row.q.Max))
	}
	fmt.Fprintf(b, "send lateness p99 %s, max %s, late share %.4f\n",
		millis(r.Lateness.P99), millis(r.Lateness.Max), r.Lateness.LateShare)
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

func (r *Result) writeCounts(b *strings.Builder) {
	m := r.Moves
	fmt.Fprintf(b, "moves %d: loads %d, unloads %d, adapter loads %d, adapter unloads %d\n",
		m.Total(), m.Loads, m.Unloads, m.AdapterLoads, m.AdapterUnloads)
	fmt.Fprintf(b, "served from another region: %d requests (%.4f), about %d KiB\n",
		r.CrossRegion.Requests, r.CrossRegion.Share, r.CrossRegion.Bytes/kibibyte)
	fmt.Fprintf(b, "failed requests by code:")
	for _, code := range slices.Sorted(maps.Keys(r.FailuresByCode)) {
		fmt.Fprintf(b, " %s=%d", code, r.FailuresByCode[code])
	}
	fmt.Fprintf(b, "\nkeyed calls answered from an earlier run: %d\n", r.ReplayedCalls)
}

func (r *Result) writeUsage(b *strings.Builder) {
	u := r.Usage
	fmt.Fprintf(b, "machine busy %.2f, log %.1f appends/s %.1f reads/s\n", u.MachineBusy, u.LogAppendsPerSecond, u.LogReadsPerSecond)
	for _, d := range u.Daemons {
		fmt.Fprintf(b, "  %-5s %-24s %6.2f CPU s  %5.2f %% of a core  %5.1f MiB  control %6.2f KiB/s\n",
			d.Role, d.Name, d.CPUSeconds, 100*d.CPUShare, float64(d.RSSBytes)/mebibyte, d.ControlBytesPerSecond/kibibyte)
	}
}

func (r *Result) writeBreaches(b *strings.Builder) {
	fmt.Fprintf(b, "breaches: %d\n", len(r.Breaches))
	for _, breach := range r.Breaches[:min(len(r.Breaches), maxShownBreaches)] {
		fmt.Fprintf(b, "  %s %s: %s\n", breach.Kind, breach.Subject, breach.Detail)
	}
}
