package ctl

import (
	"context"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/infra"
)

// Client carries out commands. Fields that a command does not need may be nil.
type Client struct {
	Log   infra.Log
	Hosts infra.HostList
	// Daemons are addresses for Peer calls; empty means all hosts of the platform's list.
	Daemons []string
	// HTTP makes the Peer calls.
	HTTP *http.Client
	// PeerTimeout bounds one Peer call.
	PeerTimeout time.Duration
	Clock       clock.Clock
	// NewID returns a unique id for a change set.
	NewID func() string
}

// synced returns a publisher that has read the stream to its end.
func (c *Client) synced(ctx context.Context) (*configlog.Publisher, error) {
	p := configlog.NewPublisher(c.Log, c.Clock)
	if err := p.Sync(ctx); err != nil {
		return nil, err
	}
	return p, nil
}
