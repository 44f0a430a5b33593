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

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// waitFor polls done until it returns true; it fails with code DeadlineExceeded after limit or when ctx ends. The error
// message names the condition with what.
func waitFor(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.DeadlineExceeded, failure.Unknown, "gave up waiting until "+what+" (limit "+limit.String()+")")
		case <-time.After(pollInterval):
		}
	}
}

// WaitFor polls done until it returns true; it fails with code DeadlineExceeded after limit or when ctx ends. The error
// message names the condition with what.
func (c *Cluster) WaitFor(ctx context.Context, limit time.Duration, what string, done func() bool) error {
	return waitFor(ctx, limit, what, done)
}

func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// SetHost adds or replaces a host in the platform's host list.
func (c *Cluster) SetHost(ctx context.Context, host infra.Host) error {
	return c.sendJSON(ctx, http.MethodPut, c.HostsURL+"/hosts/"+host.Name, host, nil)
}

// RemoveHost removes a host from the platform's host list.
func (c *Cluster) RemoveHost(ctx context.Context, name string) error {
	return c.sendJSON(ctx, http.MethodDelete, c.HostsURL+"/hosts/"+name, nil, nil)
}

// SetLeaving marks the host of a runner as leaving in the platform's host list.
func (c *Cluster) SetLeaving(ctx context.Context, r *Runner) error {
	return c.SetHost(ctx, r.host(infra.HostLeaving))
}

// SetLive marks the host of a runner as live in the platform's host list.
func (c *Cluster) SetLive(ctx context.Context, r *Runner) error {
	return c.SetHost(ctx, r.host(infra.HostLive))
}

// SetFaults sets the fault switches of the stand-in at baseURL; they replace the previous ones.
func (c *Cluster) SetFaults(ctx context.Context, baseURL string, switches any) error {
	return c.sendJSON(ctx, http.MethodPost, baseURL+"/faults", switches, nil)
}

// ReadCounters decodes the JSON counters that a stand-in serves at path into dst.
func (c *Cluster) ReadCounters(ctx context.Context, baseURL, path string, dst any) error {
	return c.sendJSON(ctx, http.MethodGet, baseURL+path, nil, dst)
}

func (c *Cluster) statusCode(ctx context.Context, url string) (int, error) {
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

// sendJSON sends body, if not nil, as JSON and decodes the response into dst, if not nil. A status of 400 or above is
// an error.
func (c *Cluster) sendJSON(ctx context.Context, method, url string, body, dst any) error {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return failure.Wrap(failure.Internal, failure.NotRun, "cannot encode the request body of "+url, err)
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
		return failure.Wrap(failure.Internal, failure.Ran, url+": cannot decode the response", err)
	}
	return nil
}
