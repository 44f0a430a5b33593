package agent

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/infra"
)

// countedLog is a log that counts the appends made through it.
type countedLog struct {
	infra.Log
	appends prometheus.Counter
}

// Append increments the counter and appends data to the stream.
func (l *countedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.appends.Inc()
	return l.Log.Append(ctx, stream, data)
}
