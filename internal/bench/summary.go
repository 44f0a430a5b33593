package bench

import (
	"fmt"
	"math"
	"slices"
)

// Summary holds statistics of the values of a figure over several seeds.
type Summary struct {
	Seeds int     `json:"seeds"`
	Mean  float64 `json:"mean"`
	Min   float64 `json:"min"`
	Max   float64 `json:"max"`
	// Deviation is the sample standard deviation.
	Deviation float64 `json:"deviation"`
}

func summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	s := Summary{Seeds: len(values), Mean: mean(values), Min: slices.Min(values), Max: slices.Max(values)}
	if len(values) < 2 {
		return s
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - s.Mean) * (v - s.Mean)
	}
	s.Deviation = math.Sqrt(sum / float64(len(values)-1))
	return s
}

// String returns the mean, range, deviation and number of values as text.
func (s Summary) String() string {
	if s.Seeds == 0 {
		return "no value"
	}
	return fmt.Sprintf("%.4f (min %.4f, max %.4f, sd %.4f, %d seeds)", s.Mean, s.Min, s.Max, s.Deviation, s.Seeds)
}
