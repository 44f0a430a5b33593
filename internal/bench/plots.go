package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotBin is the bin width of the plot of attainment over time.
	plotBin = time.Second
)

// WritePlots writes two PNG files into dir: the attainment over time, and the cumulative distribution of the time to the
// first token. It fails with code Internal.
func (r *Result) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, "cannot create the plot directory "+dir, err)
	}
	name := fmt.Sprintf("%s-%s-%d", r.Profile, r.Policy, r.Seed)
	err := savePlot(filepath.Join(dir, name+"-attainment.png"), "time of arrival (s)", "attainment", attainmentPoints(r.observations))
	if err != nil {
		return err
	}
	return savePlot(filepath.Join(dir, name+"-first-token.png"), "time to first token (s)", "share of responses", firstTokenPoints(r.observations))
}

// savePlot draws a line through the points, with a y range of 0 to 1.
func savePlot(path, x, y string, points plotter.XYs) error {
	p := plot.New()
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Y.Max = 1
	line, err := plotter.NewLine(points)
	if err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, "cannot plot "+path, err)
	}
	p.Add(plotter.NewGrid(), line)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, "cannot write plot "+path, err)
	}
	return nil
}

// attainmentPoints returns the attainment of generations by second of arrival.
func attainmentPoints(observations []*Observation) plotter.XYs {
	bins := map[int]*Share{}
	last := 0
	for _, o := range observations {
		if o.Arrival.Class == ServiceCall {
			continue
		}
		bin := int(o.Arrival.At / plotBin)
		shareOf(bins, bin).add(o.attained())
		last = max(last, bin)
	}
	var points plotter.XYs
	for bin := range last + 1 {
		if s := bins[bin]; s != nil {
			points = append(points, plotter.XY{X: float64(bin) * plotBin.Seconds(), Y: s.Share})
		}
	}
	return points
}

// firstTokenPoints returns the cumulative distribution of the time to the first token.
func firstTokenPoints(observations []*Observation) plotter.XYs {
	var values []float64
	for _, o := range observations {
		if o.Tokens > 0 {
			values = append(values, o.FirstToken.Seconds())
		}
	}
	slices.Sort(values)
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: v, Y: float64(i+1) / float64(len(values))}
	}
	return points
}
