package gateway

import (
	"testing"

	"trefoilferry.example/ferry/pkg/exchange"
)

// Load pattern: responses without a length, whose servers crash, leave or cannot be asked. Guards against a part of a
// response that counts as whole, against whole responses that count as broken off, and against a runner that counts as
// having survived the request that crashed it.
func TestEndOfAResponse(t *testing.T) {
	for name, c := range map[string]struct {
		end             responseEnd
		whole, survived bool
	}{
		"stated":                             {responseEnd{framed: true}, true, true},
		"the server goes on":                 {responseEnd{listening: exchange.Listens, inService: true}, true, true},
		"the server has ended":               {responseEnd{listening: exchange.ListensNot, inService: true}, false, false},
		"a server that leaves has ended":     {responseEnd{listening: exchange.ListensNot}, true, false},
		"the host does not answer":           {responseEnd{listening: exchange.ListensUnknown, inService: true}, true, false},
		"the server leaves and goes on":      {responseEnd{listening: exchange.Listens}, true, true},
		"a host that leaves does not answer": {responseEnd{listening: exchange.ListensUnknown}, true, false},
	} {
		if whole, survived := c.end.whole(), c.end.survived(); whole != c.whole || survived != c.survived {
			t.Errorf("%s: whole %v, survived %v; want %v, %v", name, whole, survived, c.whole, c.survived)
		}
	}
}
