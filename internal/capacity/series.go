package capacity

import (
	"fmt"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Series collects the results for several values of one varied quantity.
type Series struct {
	values  []float64
	results []Result
}

// Add appends the result for a value.
func (s *Series) Add(value float64, r Result) {
	s.values = append(s.values, value)
	s.results = append(s.results, r)
}

// FittedLines returns the least-squares lines through the results as text, one line per measured figure; empty for fewer
// than two results.
func (s *Series) FittedLines() string {
	if len(s.values) < 2 {
		return ""
	}
	var b strings.Builder
	for _, quantity := range []struct {
		name string
		of   func(Usage) float64
	}{
		{"cpu %", func(u Usage) float64 { return u.CPUPercent }},
		{"rss MB", func(u Usage) float64 { return u.RSSMB }},
		{"control bytes/s", Usage.ControlBytesPerSecond},
	} {
		intercept, slope := s.fit(quantity.of)
		fmt.Fprintf(&b, "%s = %.4g + %.4g x value\n", quantity.name, intercept, slope)
	}
	return b.String()
}

// fit returns the intercept and the slope of the least-squares line through one figure of the usage.
func (s *Series) fit(of func(Usage) float64) (intercept, slope float64) {
	y := make([]float64, len(s.results))
	for i, r := range s.results {
		y[i] = of(r.Usage)
	}
	return stat.LinearRegression(s.values, y, nil, false)
}
