package bench

import (
	"context"
	"net/http"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"trefoilferry.example/ferry/pkg/failure"
)

// controlBytesSuffix is the suffix of the names of the daemons' control traffic counters.
const controlBytesSuffix = "_control_bytes_total"

// scrapeControlBytes returns the control traffic of a daemon since its start, in bytes, both directions. admin is the
// address of its metrics.
func scrapeControlBytes(ctx context.Context, client *http.Client, admin string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return 0, failure.Wrap(failure.Internal, failure.NotRun, "bad metrics address "+admin, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, failure.Wrap(failure.PeerUnavailable, failure.Unknown, admin, err)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, failure.Wrap(failure.PeerUnavailable, failure.Ran, admin+": cannot decode metrics", err)
	}
	return sumControlBytes(families), nil
}

func sumControlBytes(families map[string]*dto.MetricFamily) float64 {
	sum := 0.0
	for name, family := range families {
		if !strings.HasSuffix(name, controlBytesSuffix) {
			continue
		}
		for _, m := range family.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}
