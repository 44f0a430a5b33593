package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// Request is the body of a fetch.
type Request struct {
	// Kind is model or adapter.
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Bytes uint64 `json:"bytes"`
}

// Client fetches weights; engines use it.
type Client struct {
	url  string
	send *oncehttp.Sender
}

// NewClient returns a client of the store at baseURL.
func NewClient(baseURL string) *Client {
	return &Client{url: strings.TrimSuffix(baseURL, "/") + "/fetch", send: oncehttp.New(nil)}
}

// Fetch returns when the weights have arrived. Failures have the codes of package oncehttp, and EngineFailed when
// the store answered with an error.
func (c *Client) Fetch(ctx context.Context, kind, name string, bytes uint64) error {
	body, err := json.Marshal(Request{Kind: kind, Name: name, Bytes: bytes})
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "fetch does not encode", err)
	}
	resp, err := c.send.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: c.url, Body: body})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.EngineFailed, failure.Ran, "weight store answered "+resp.Status)
	}
	return nil
}
