package ctl

import (
	"context"
	"sync"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// maxPeerCalls bounds the concurrent calls to daemons.
const maxPeerCalls = 32

// targets returns the daemons to ask. Failures have code HostsUnavailable, or BadRequest without any source.
func (c *Client) targets(ctx context.Context) ([]infra.Host, error) {
	if len(c.Daemons) > 0 {
		var out []infra.Host
		for _, address := range c.Daemons {
			out = append(out, infra.Host{Name: address, Address: address})
		}
		return out, nil
	}
	if c.Hosts == nil {
		return nil, usage("give --hosts-url or at least one --daemon")
	}
	return c.Hosts.Hosts(ctx)
}

// ask calls every host and returns answers and errors in the order of hosts.
func ask[T any](ctx context.Context, c *Client, hosts []infra.Host, call func(context.Context, ferrypb.Peer) (T, error)) ([]T, []error) {
	answers := make([]T, len(hosts))
	errs := make([]error, len(hosts))
	slots := make(chan struct{}, maxPeerCalls)
	var calls sync.WaitGroup
	for i, host := range hosts {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			answers[i], errs[i] = askOne(ctx, c, host, call)
		})
	}
	calls.Wait()
	return answers, errs
}

func askOne[T any](ctx context.Context, c *Client, host infra.Host, call func(context.Context, ferrypb.Peer) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.PeerTimeout)
	defer cancel()
	answer, err := call(ctx, ferrypb.NewPeerProtobufClient("http://"+host.Address, c.HTTP))
	if err != nil {
		return answer, failure.Wrap(failure.PeerUnavailable, failure.NotRun, host.Name, err)
	}
	return answer, nil
}

// noneReached returns a failure if every call failed.
func noneReached(errs []error) error {
	for _, err := range errs {
		if err == nil {
			return nil
		}
	}
	if len(errs) == 0 {
		return failure.New(failure.HostsUnavailable, failure.NotRun, "host list is empty")
	}
	return failure.Wrap(failure.PeerUnavailable, failure.NotRun, "no daemon answered; the first error", errs[0])
}
