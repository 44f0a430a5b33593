package exchange

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against a server that is taken for ended although it goes on, and the other way round.
func TestCheckTellsWhetherAServerListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	pool, address := NewPool(), l.Addr().String()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if got := pool.Check(ended, address); got != ListensUnknown {
		t.Errorf("without time for an answer: %s, want %s", got, ListensUnknown)
	}
	for range 2 {
		if got := pool.Check(t.Context(), address); got != Listens {
			t.Errorf("a server that listens: %s, want %s", got, Listens)
		}
	}
	if n := pool.TotalOpened(); n != 1 {
		t.Errorf("connections opened by two checks: %d, want 1, which stays idle", n)
	}
	_ = l.Close()
	_ = (<-accepted).Close()
	time.Sleep(20 * time.Millisecond)
	if got := pool.Check(t.Context(), address); got != ListensNot {
		t.Errorf("a server that has ended: %s, want %s", got, ListensNot)
	}
}
