// Package repeater is a stand-in for a faulty HTTP server that writes its responses a second time, late: on the same
// connection, where the next response is due.
package repeater

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Server is the stand-in. Its methods are safe for concurrent use.
type Server struct {
	listener  net.Listener
	responses chan string
	copies    atomic.Int64
}

// Response returns an HTTP response with a status and a body.
func Response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Start starts a server on a loopback port. It writes responses[n] to the nth request over all connections and closes the
// connection of a request beyond them.
func Start(responses ...string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, responses: make(chan string, len(responses))}
	for _, r := range responses {
		s.responses <- r
	}
	go s.accept()
	return s, nil
}

// Addr returns the address of the server as HOST:PORT.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Copies returns the number of second copies that were written.
func (s *Server) Copies() int { return int(s.copies.Load()) }

// Close ends the server; open connections stay open until their clients close them.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in, last := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		select {
		case own := <-s.responses:
			if last != "" {
				s.copies.Add(1)
			}
			if _, err := io.WriteString(c, last+own); err != nil {
				return
			}
			last = own
		default:
			return
		}
	}
}
