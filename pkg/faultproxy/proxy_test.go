package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their proxy.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEcho returns a proxy in front of a server that sends back the data it receives.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	proxy, err := New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		proxy.Close()
		_ = listener.Close()
	})
	return proxy
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends text and returns the bytes received: as many as were sent, or fewer and an error if limit expires.
func exchange(conn net.Conn, text string, limit time.Duration) (string, error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	return receive(conn, len(text), limit)
}

func receive(conn net.Conn, n int, limit time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	data := make([]byte, n)
	got, err := io.ReadFull(conn, data)
	return string(data[:got]), err
}

func set(t *testing.T, p *Proxy, f Faults) {
	t.Helper()
	if err := p.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against data that is lost, reordered or held back without a fault, and against a half-close that is not
// forwarded.
func TestForwardsBytesAndHalfClose(t *testing.T) {
	conn := dial(t, startEcho(t))
	sent := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("echo of the sent bytes: got %d of %d bytes, equal %t, error %v", len(got), len(sent), bytes.Equal(got, sent), err)
	}
}

// Guards against a refused connection that reaches the target, and against a port that is not reopened afterwards.
func TestRefuse(t *testing.T) {
	proxy := startEcho(t)
	open := dial(t, proxy)
	if _, err := exchange(open, "a", time.Second); err != nil {
		t.Fatal(err)
	}
	set(t, proxy, Faults{Refuse: true})
	if _, err := net.Dial("tcp", proxy.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial while connections are refused: %v, want ECONNREFUSED", err)
	}
	if got, err := exchange(open, "b", time.Second); got != "b" {
		t.Fatalf("echo on the open connection: %q, error %v, want \"b\"", got, err)
	}
	set(t, proxy, Faults{})
	if got, err := exchange(dial(t, proxy), "c", time.Second); got != "c" {
		t.Fatalf("echo after the refusal was switched off: %q, error %v, want \"c\"", got, err)
	}
	if proxy.TotalConnections() != 2 {
		t.Fatalf("connections counted by the proxy: %d, want 2", proxy.TotalConnections())
	}
}

// Guards against a held direction that returns an error or loses data.
func TestHold(t *testing.T) {
	for name, f := range map[string]Faults{
		"to target": {HoldToTarget: true}, "to client": {HoldToClient: true}, "both": {HoldToTarget: true, HoldToClient: true},
	} {
		proxy := startEcho(t)
		conn := dial(t, proxy)
		set(t, proxy, f)
		got, err := exchange(conn, "held", 100*time.Millisecond)
		var timeout net.Error
		if got != "" || !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("%s: read while held: %q, error %v, want no data and a timeout", name, got, err)
		}
		set(t, proxy, Faults{})
		if got, err := receive(conn, 4, time.Second); got != "held" {
			t.Errorf("%s: read after the hold: %q, error %v, want \"held\"", name, got, err)
		}
	}
}

// Guards against a reset that comes early or late, and against one on more connections than configured.
func TestResetAfterBytes(t *testing.T) {
	proxy := startEcho(t)
	set(t, proxy, Faults{ResetAfterBytes: 3, Resets: 1})
	conn := dial(t, proxy)
	if got, err := exchange(conn, "12", time.Second); got != "12" {
		t.Fatalf("echo of 2 bytes before the reset: %q, error %v, want \"12\"", got, err)
	}
	if _, err := exchange(conn, "34567", time.Second); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("read past the 3rd byte: %v, want ECONNRESET or io.ErrUnexpectedEOF", err)
	}
	if got, err := exchange(dial(t, proxy), "1234567", time.Second); got != "1234567" {
		t.Fatalf("echo on the second connection: %q, error %v, want \"1234567\"", got, err)
	}
}

// Guards against connections that stay open after ResetConnections, and against a delay that is not applied.
func TestResetConnectionsAndDelay(t *testing.T) {
	proxy := startEcho(t)
	conn := dial(t, proxy)
	set(t, proxy, Faults{DelayMillis: 50})
	begin := time.Now()
	if got, err := exchange(conn, "x", time.Second); got != "x" || time.Since(begin) < 100*time.Millisecond {
		t.Fatalf("echo with a delay of 50 ms each way: %q, error %v after %v, want \"x\" after at least 100 ms", got, err, time.Since(begin))
	}
	if reset := proxy.ResetConnections(); reset != 1 {
		t.Fatalf("connections reset by ResetConnections: %d, want 1", reset)
	}
	if _, err := exchange(conn, "x", time.Second); err == nil {
		t.Fatal("exchange after ResetConnections succeeded, want an error")
	}
	for begin := time.Now(); proxy.OpenConnections() != 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > time.Second {
			t.Fatalf("open connections 1 s after ResetConnections: %d, want 0", proxy.OpenConnections())
		}
	}
}
