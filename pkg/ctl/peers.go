package ctl

import (
	"context"
	"sync"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// maxPeerCalls limits the number of concurrent calls to daemons.
const maxPeerCalls = 32

// peerHosts returns the daemons to call: those given on the command line, or else all of the host list.
// Failures have code HostListUnavailable, or BadRequest if neither was given.
func (c *Client) peerHosts(ctx context.Context) ([]infra.Host, error) {
	if len(c.Daemons) > 0 {
		var out []infra.Host
		for _, address := range c.Daemons {
			out = append(out, infra.Host{Name: address, Address: address})
		}
		return out, nil
	}
	if c.Hosts == nil {
		return nil, usageError("give --hosts-url or at least one --daemon")
	}
	return c.Hosts.Hosts(ctx)
}

// callAll calls every host concurrently and returns the responses and errors in the order of hosts.
func callAll[T any](ctx context.Context, c *Client, hosts []infra.Host, call func(context.Context, ferrypb.Peer) (T, error)) ([]T, []error) {
	responses := make([]T, len(hosts))
	errs := make([]error, len(hosts))
	semaphore := make(chan struct{}, maxPeerCalls)
	var calls sync.WaitGroup
	for i, host := range hosts {
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			responses[i], errs[i] = callOne(ctx, c, host, call)
		})
	}
	calls.Wait()
	return responses, errs
}

func callOne[T any](ctx context.Context, c *Client, host infra.Host, call func(context.Context, ferrypb.Peer) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.PeerTimeout)
	defer cancel()
	response, err := call(ctx, ferrypb.NewPeerProtobufClient("http://"+host.Address, c.HTTP))
	if err != nil {
		return response, failure.Wrap(failure.PeerUnavailable, failure.NotRun, host.Name, err)
	}
	return response, nil
}

// failIfNoneSucceeded returns a failure if every call failed or there was no host to call.
func failIfNoneSucceeded(errs []error) error {
	for _, err := range errs {
		if err == nil {
			return nil
		}
	}
	if len(errs) == 0 {
		return failure.New(failure.HostListUnavailable, failure.NotRun, "host list is empty")
	}
	return failure.Wrap(failure.PeerUnavailable, failure.NotRun, "no daemon answered; the first error", errs[0])
}
