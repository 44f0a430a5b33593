package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// SlopePoint is the result of the measurement at one size.
type SlopePoint struct {
	Size                int       `json:"size"`
	Entry               RoleUsage `json:"entry"`
	Agent               RoleUsage `json:"agent"`
	LogAppendsPerSecond float64   `json:"log_appends_per_second"`
	LogReadsPerSecond   float64   `json:"log_reads_per_second"`
	MachineBusy         float64   `json:"machine_busy"`
	// Operations is the number of changes published or of complete responses in the window.
	Operations int `json:"done"`
}

// SlopeReport holds the measured points and, by name of the figure, the fitted lines.
type SlopeReport struct {
	Dimension Dimension       `json:"vary"`
	Points    []SlopePoint    `json:"points"`
	Lines     map[string]Line `json:"lines"`
}

// figures returns the figures for which lines are fitted, by name.
func (p SlopePoint) figures() map[string]float64 {
	return map[string]float64{
		"entry CPU share":         p.Entry.CPUShare,
		"entry RSS MiB":           p.Entry.RSSBytes / mebibyte,
		"entry control bytes/s":   p.Entry.ControlBytesPerSecond,
		"agent CPU share":         p.Agent.CPUShare,
		"agent RSS MiB":           p.Agent.RSSBytes / mebibyte,
		"agent control bytes/s":   p.Agent.ControlBytesPerSecond,
		"log appends/s (all)":     p.LogAppendsPerSecond,
		"log reads/s (all)":       p.LogReadsPerSecond,
		"machine busy (all work)": p.MachineBusy,
	}
}

func (r *SlopeReport) fitLines() {
	x := []float64{}
	y := map[string][]float64{}
	for _, p := range r.Points {
		x = append(x, float64(p.Size))
		for name, value := range p.figures() {
			y[name] = append(y[name], value)
		}
	}
	r.Lines = map[string]Line{}
	for name, values := range y {
		r.Lines[name] = fitLine(x, values)
	}
}

// WriteText writes the points and the fitted lines as text.
func (r *SlopeReport) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "means over the daemons of a role, by number of %s\n", r.Dimension)
	for _, p := range r.Points {
		fmt.Fprintf(&b, "%4d  entry %.3f %% of a core, %.1f MiB, %.0f B/s  agent %.3f %% of a core, %.1f MiB, %.0f B/s  log %.2f appends/s %.1f reads/s  machine %.2f  done %d\n",
			p.Size, 100*p.Entry.CPUShare, p.Entry.RSSBytes/mebibyte, p.Entry.ControlBytesPerSecond,
			100*p.Agent.CPUShare, p.Agent.RSSBytes/mebibyte, p.Agent.ControlBytesPerSecond,
			p.LogAppendsPerSecond, p.LogReadsPerSecond, p.MachineBusy, p.Operations)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Lines)) {
		fmt.Fprintf(&b, "%-24s = %.6g + %.6g per unit\n", name, r.Lines[name].Intercept, r.Lines[name].Slope)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
