package bench

// Line is a least-squares fit y = Intercept + Slope*x.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// fitLine returns the least-squares line through the points. With fewer than two distinct values of x the slope is 0.
func fitLine(x, y []float64) Line {
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	if variance == 0 {
		return Line{Intercept: meanY}
	}
	slope := covariance / variance
	return Line{Slope: slope, Intercept: meanY - slope*meanX}
}

// mean returns the arithmetic mean of the values; 0 if there are none.
func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
