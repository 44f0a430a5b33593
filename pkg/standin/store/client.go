package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// FetchRequest is the body of POST /fetch.
type FetchRequest struct {
	// Kind is model or adapter.
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Bytes uint64 `json:"bytes"`
}

// Client is the engine's client of the weight store.
type Client struct {
	url  string
	send *oncehttp.Sender
}

// NewClient returns a client of the weight store at baseURL.
func NewClient(baseURL string) *Client {
	return &Client{url: strings.TrimSuffix(baseURL, "/") + "/fetch", send: oncehttp.New(nil)}
}

// Fetch requests the weights of a model or adapter and returns once the store has delivered them. Errors have the codes
// of package oncehttp, or EngineFailed if the store responded with a status other than 200.
func (c *Client) Fetch(ctx context.Context, kind, name string, bytes uint64) error {
	body, err := json.Marshal(FetchRequest{Kind: kind, Name: name, Bytes: bytes})
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "cannot encode the fetch request", err)
	}
	resp, err := c.send.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: c.url, Body: body})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.EngineFailed, failure.Ran, "weight store responded with status "+resp.Status)
	}
	return nil
}
