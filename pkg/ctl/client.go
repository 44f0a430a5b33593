package ctl

import (
	"context"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/infra"
)

// Client implements the commands. Fields that a command does not use may be nil.
type Client struct {
	Log   infra.Log
	Hosts infra.HostList
	// Daemons are the addresses for Peer calls; empty means all hosts of the host list.
	Daemons []string
	// HTTP is the client for Peer calls.
	HTTP *http.Client
	// PeerTimeout limits one Peer call.
	PeerTimeout time.Duration
	Clock       clock.Clock
	// NewID returns a unique id for a change set.
	NewID func() string
}

// syncedPublisher returns a publisher that has read the configuration stream to its end.
func (c *Client) syncedPublisher(ctx context.Context) (*configlog.Publisher, error) {
	p := configlog.NewPublisher(c.Log, c.Clock)
	if err := p.Sync(ctx); err != nil {
		return nil, err
	}
	return p, nil
}
