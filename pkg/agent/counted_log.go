package agent

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/infra"
)

// countedLog counts the appends of one stream.
type countedLog struct {
	infra.Log
	appends prometheus.Counter
}

// Append counts and appends.
func (l *countedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.appends.Inc()
	return l.Log.Append(ctx, stream, data)
}
