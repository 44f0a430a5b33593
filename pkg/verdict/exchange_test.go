package verdict

import (
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against a request that counts as not sent although the kernel had taken some of its bytes: a frozen server runs
// them when it goes on.
func TestOutcomeOfAnExchangeWithoutAResponse(t *testing.T) {
	for _, c := range []struct {
		in   Exchange
		want failure.Outcome
	}{
		{Exchange{}, failure.NotRun},
		{Exchange{Connected: true}, failure.Unknown},
		{Exchange{Connected: true, WriteFailed: true}, failure.NotRun},
		{Exchange{Connected: true, WriteFailed: true, Written: 1}, failure.Unknown},
		{Exchange{Connected: true, Written: 100}, failure.Unknown},
	} {
		if got := c.in.Outcome(); got != c.want {
			t.Errorf("%+v: %s, want %s", c.in, got, c.want)
		}
	}
}
