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

// startEcho returns a proxy before a server that sends back what it receives.
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

// exchange sends text and waits for as many bytes, up to a time limit.
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
	if err := p.Set(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against bytes that are lost, reordered or held back when no switch is on, and against a lost half-close.
func TestForwards(t *testing.T) {
	conn := dial(t, startEcho(t))
	sent := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("got %d bytes of %d, %v", len(got), len(sent), err)
	}
}

// Guards against a refusal that reaches the target, or a port that does not come back.
func TestRefuse(t *testing.T) {
	proxy := startEcho(t)
	open := dial(t, proxy)
	if _, err := exchange(open, "a", time.Second); err != nil {
		t.Fatal(err)
	}
	set(t, proxy, Faults{Refuse: true})
	if _, err := net.Dial("tcp", proxy.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("got %v", err)
	}
	if got, err := exchange(open, "b", time.Second); got != "b" {
		t.Fatalf("open connection got %q, %v", got, err)
	}
	set(t, proxy, Faults{})
	if got, err := exchange(dial(t, proxy), "c", time.Second); got != "c" {
		t.Fatalf("got %q, %v", got, err)
	}
	if proxy.Total() != 2 {
		t.Fatalf("counted %d connections", proxy.Total())
	}
}

// Guards against a held direction that shows an error or loses its bytes.
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
			t.Errorf("%s: got %q, %v", name, got, err)
		}
		set(t, proxy, Faults{})
		if got, err := receive(conn, 4, time.Second); got != "held" {
			t.Errorf("%s: got %q, %v after the hold", name, got, err)
		}
	}
}

// Guards against a reset that comes early, late or on more connections than asked for.
func TestResetAfterBytes(t *testing.T) {
	proxy := startEcho(t)
	set(t, proxy, Faults{ResetAfterBytes: 3, Resets: 1})
	conn := dial(t, proxy)
	if got, err := exchange(conn, "12", time.Second); got != "12" {
		t.Fatalf("got %q, %v", got, err)
	}
	if _, err := exchange(conn, "34567", time.Second); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v", err)
	}
	if got, err := exchange(dial(t, proxy), "1234567", time.Second); got != "1234567" {
		t.Fatalf("second connection got %q, %v", got, err)
	}
}

// Guards against a cut that leaves connections open, and a delay that is not applied.
func TestCutAndDelay(t *testing.T) {
	proxy := startEcho(t)
	conn := dial(t, proxy)
	set(t, proxy, Faults{DelayMillis: 50})
	begin := time.Now()
	if got, err := exchange(conn, "x", time.Second); got != "x" || time.Since(begin) < 100*time.Millisecond {
		t.Fatalf("got %q, %v after %v", got, err, time.Since(begin))
	}
	if cut := proxy.Cut(); cut != 1 {
		t.Fatalf("cut %d connections", cut)
	}
	if _, err := exchange(conn, "x", time.Second); err == nil {
		t.Fatal("connection is still open")
	}
	for begin := time.Now(); proxy.Open() != 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > time.Second {
			t.Fatal("connection is still counted as open")
		}
	}
}
