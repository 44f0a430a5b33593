package bench

import (
	"context"
	"fmt"
	"io"
)

// Pair holds the results of both variants with the same seed.
type Pair struct {
	Seed uint64  `json:"seed"`
	A    *Result `json:"a"`
	B    *Result `json:"b"`
}

// Comparison is the result of comparing two variants of the settings over several seeds.
type Comparison struct {
	A     string `json:"a"`
	B     string `json:"b"`
	Pairs []Pair `json:"pairs"`
	// Attainment and Moves are the ratios of A to B over the seeds. Seeds for which the value of B is 0 are left out.
	Attainment Summary `json:"attainment_ratio"`
	Moves      Summary `json:"moves_ratio"`
}

// Compare runs the variants a and b of the base options once per seed, for the given number of seeds. The two variants
// alternate in running first, so that a drift of the machine's speed does not favour one of them. The comparison fails if
// the generator falls behind or a run shows a breach. Progress is written to out.
func Compare(ctx context.Context, base Options, a, b string, seeds int, out io.Writer) (*Comparison, error) {
	c := &Comparison{A: a, B: b}
	for i := range seeds {
		pair, err := comparePair(ctx, base, a, b, i, out)
		if err != nil {
			return nil, err
		}
		c.Pairs = append(c.Pairs, pair)
	}
	c.Attainment = c.ratios(func(r *Result) float64 { return r.Attainment.Total.Share })
	c.Moves = c.ratios(func(r *Result) float64 { return float64(r.Moves.Total()) })
	return c, nil
}

func comparePair(ctx context.Context, base Options, a, b string, index int, out io.Writer) (Pair, error) {
	base.Seed += uint64(index)
	pair := Pair{Seed: base.Seed}
	steps := []struct {
		changes string
		result  **Result
	}{{a, &pair.A}, {b, &pair.B}}
	if index%2 == 1 {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		options, err := base.With(step.changes)
		if err != nil {
			return Pair{}, err
		}
		_, _ = fmt.Fprintf(out, "\n== seed %d, %s\n", base.Seed, step.changes)
		result, err := Execute(ctx, options, out)
		if err != nil {
			return Pair{}, err
		}
		if err := result.Check(); err != nil {
			result.writeFailure(out)
			return Pair{}, err
		}
		*step.result = result
	}
	return pair, nil
}

// writeFailure writes the report of a result that failed its checks; nothing if the generator fell behind, since the
// figures are invalid then.
func (r *Result) writeFailure(out io.Writer) {
	if r.Lateness.Check() == nil {
		// A write error is ignored because the caller returns the failed check.
		_ = r.WriteText(out)
	}
}

// ratios summarizes the ratio of A to B of a figure over all seeds for which the figure of B is positive.
func (c *Comparison) ratios(figure func(*Result) float64) Summary {
	var values []float64
	for _, p := range c.Pairs {
		if b := figure(p.B); b > 0 {
			values = append(values, figure(p.A)/b)
		}
	}
	return summarize(values)
}

// WriteText writes a table with one line per seed, and the summaries of the ratios.
func (c *Comparison) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "\nA: %s\nB: %s\nseed  attainment A  attainment B  moves A  moves B  first token p95 A  B  remote share A  B  busy A  B\n", c.A, c.B)
	for _, p := range c.Pairs {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%4d  %.4f  %.4f  %d  %d  %s  %s  %.3f  %.3f  %.2f  %.2f\n", p.Seed,
			p.A.Attainment.Total.Share, p.B.Attainment.Total.Share, p.A.Moves.Total(), p.B.Moves.Total(),
			millis(p.A.FirstToken.P95), millis(p.B.FirstToken.P95), p.A.CrossRegion.Share, p.B.CrossRegion.Share,
			p.A.Usage.MachineBusy, p.B.Usage.MachineBusy)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "attainment A/B %s\nmoves A/B %s\n", c.Attainment, c.Moves)
	return err
}
