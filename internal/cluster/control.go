package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// pollPause is the pause between two looks at a condition.
const pollPause = 20 * time.Millisecond

// waitFor waits until done returns true; it fails with code DeadlineExpired after limit.
func waitFor(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.DeadlineExpired, failure.Unknown, "gave up waiting until "+what)
		case <-time.After(pollPause):
		}
	}
}

// WaitFor waits until done returns true; it fails with code DeadlineExpired after limit.
func (c *Cluster) WaitFor(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	return waitFor(ctx, limit, what, done)
}

func dials(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// SetHost puts a row into the platform's host list.
func (c *Cluster) SetHost(ctx context.Context, host infra.Host) error {
	return c.send(ctx, http.MethodPut, c.HostsURL+"/hosts/"+host.Name, host, nil)
}

// RemoveHost takes a row out of the platform's host list.
func (c *Cluster) RemoveHost(ctx context.Context, name string) error {
	return c.send(ctx, http.MethodDelete, c.HostsURL+"/hosts/"+name, nil, nil)
}

// SetLeaving marks a runner as leaving in the platform's host list.
func (c *Cluster) SetLeaving(ctx context.Context, r *Runner) error {
	return c.SetHost(ctx, r.host(infra.HostLeaving))
}

// SetLive marks a runner as live in the platform's host list.
func (c *Cluster) SetLive(ctx context.Context, r *Runner) error {
	return c.SetHost(ctx, r.host(infra.HostLive))
}

// SetFaults sets the fault switches of a stand-in.
func (c *Cluster) SetFaults(ctx context.Context, baseURL string, switches any) error {
	return c.send(ctx, http.MethodPost, baseURL+"/faults", switches, nil)
}

// Counters reads the counters of a stand-in into dst.
func (c *Cluster) Counters(ctx context.Context, baseURL, path string, dst any) error {
	return c.send(ctx, http.MethodGet, baseURL+path, nil, dst)
}

func (c *Cluster) status(ctx context.Context, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, failure.Wrap(failure.Internal, failure.NotRun, "bad URL", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, failure.Wrap(failure.PeerUnavailable, failure.Unknown, url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

func (c *Cluster) send(ctx context.Context, method, url string, body, dst any) error {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return failure.Wrap(failure.Internal, failure.NotRun, "body not encoded", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &payload)
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "bad URL", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return failure.Wrap(failure.PeerUnavailable, failure.Unknown, url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		return failure.New(failure.Internal, failure.Ran, url+": "+resp.Status+" "+string(text))
	}
	if dst == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(dst); err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, url+": answer not understood", err)
	}
	return nil
}
