package agent

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// overloadPause is the advice to callers when too many calls are in progress.
const overloadPause = 200 * time.Millisecond

// serveKeyed refuses calls with an idempotency key: nothing claims keys yet.
func (s *ExecServer) serveKeyed(context.Context, *call) error {
	return failure.New(failure.LogUnavailable, failure.NotRun, "idempotency keys are not available")
}
