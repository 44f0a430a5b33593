package ctl

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/timeline"
)

// TimelineResult holds the merged events of all daemons in causal order.
type TimelineResult struct {
	Events []EventView `json:"events"`
	// Dropped is the number of events that were overwritten in the full ring buffers of the daemons.
	Dropped uint64 `json:"dropped"`
	// Unreachable names the hosts that did not respond.
	Unreachable []string `json:"unreachable"`
}

// EventView is one event of a process.
type EventView struct {
	Lamport   uint64    `json:"lamport"`
	Time      time.Time `json:"time"`
	Process   string    `json:"process"`
	Kind      string    `json:"kind"`
	RequestID string    `json:"request_id,omitempty"`
	AttemptID string    `json:"attempt_id,omitempty"`
	Object    string    `json:"object,omitempty"`
	Host      string    `json:"host,omitempty"`
	Detail    string    `json:"detail,omitempty"`
}

// Text returns a table with one line per event.
func (r *TimelineResult) Text() string {
	text := table("LAMPORT\tTIME\tPROCESS\tEVENT\tABOUT", len(r.Events), func(w *tabwriter.Writer, i int) {
		e := r.Events[i]
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Lamport, e.Time.Format("15:04:05.000"), e.Process, e.Kind, e.details())
	})
	if r.Dropped > 0 {
		text += fmt.Sprintf("%d older events were overwritten\n", r.Dropped)
	}
	if len(r.Unreachable) > 0 {
		text += "no answer from " + strings.Join(r.Unreachable, ", ") + "\n"
	}
	return text
}

func (e EventView) details() string {
	var parts []string
	for _, part := range []string{e.RequestID, e.AttemptID, e.Object, e.Host, e.Detail} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, " ")
}

// Timeline merges the timeline events of all daemons. limit is the number of newest events to fetch from each daemon;
// 0 means all. Failures: HostListUnavailable, or PeerUnavailable if no daemon responds.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter, limit int) (*TimelineResult, error) {
	hosts, err := c.peerHosts(ctx)
	if err != nil {
		return nil, err
	}
	request := &ferrypb.TimelineRequest{RequestId: f.RequestID, Object: f.Object, Host: f.Host, Max: uint32(limit)}
	responses, errs := callAll(ctx, c, hosts, func(ctx context.Context, peer ferrypb.Peer) (*ferrypb.TimelineResponse, error) {
		return peer.Timeline(ctx, request)
	})
	if err := failIfNoneSucceeded(errs); err != nil {
		return nil, err
	}
	result := &TimelineResult{Events: []EventView{}, Unreachable: []string{}}
	var received []*ferrypb.TimelineResponse
	for i, host := range hosts {
		if errs[i] != nil {
			result.Unreachable = append(result.Unreachable, host.Name)
			continue
		}
		received = append(received, responses[i])
		result.Dropped += responses[i].GetDropped()
	}
	result.add(timeline.Merge(received...), f)
	return result, nil
}

// add appends the events that match f. It filters again, because a daemon of another version may not support a filter.
func (r *TimelineResult) add(events []*ferrypb.TimelineEvent, f timeline.Filter) {
	for _, e := range events {
		if !f.Match(e) {
			continue
		}
		r.Events = append(r.Events, EventView{
			Lamport:   e.Lamport,
			Time:      time.UnixMilli(e.UnixMillis).UTC(),
			Process:   e.Process,
			Kind:      e.Kind,
			RequestID: e.RequestId,
			AttemptID: e.AttemptId,
			Object:    e.Object,
			Host:      e.Host,
			Detail:    e.Detail,
		})
	}
}
