package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	callTimeout      = 3 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrUnreachable reports an instance that did not answer in time.
var ErrUnreachable = errors.New("instance unreachable")

// Client calls the administration servers of instances.
type Client struct {
	http  *http.Client
	token string
}

// NewClient returns a client that authorises its writes with the shared secret
// of the peers.
func NewClient(secret string) *Client {
	return &Client{
		http:  &http.Client{Transport: &http.Transport{}, Timeout: callTimeout},
		token: Token(secret),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Version returns the version of the configuration in force at the instance at
// address.
func (c *Client) Version(ctx context.Context, address string) (Version, error) {
	return get[Version](ctx, c, address, "/v1/version", nil)
}

// Status returns the report of the instance at address.
func (c *Client) Status(ctx context.Context, address string) (Report, error) {
	return get[Report](ctx, c, address, "/v1/status", nil)
}

// Events returns the event records after since of the instance at address.
func (c *Client) Events(ctx context.Context, address string, since uint64) (Events, error) {
	return get[Events](ctx, c, address, "/v1/events", url.Values{"since": {strconv.FormatUint(since, 10)}})
}

// Invariants returns the invariant violations of the instance at address.
func (c *Client) Invariants(ctx context.Context, address string) (Invariants, error) {
	return get[Invariants](ctx, c, address, "/v1/invariants", nil)
}

// Drain requests a graceful stop of the instance at address.
func (c *Client) Drain(ctx context.Context, address, reason string) error {
	return c.post(ctx, address, "/v1/drain", &Drain{Reason: reason})
}

// Prepare requests the instance at address to announce a version. The version
// may be written if it returns nil.
func (c *Client) Prepare(ctx context.Context, address string, version ident.Version) error {
	return c.post(ctx, address, "/v1/prepare", &Prepare{Version: version})
}

// post sends body. The instance echoes it in its response.
func (c *Client) post(ctx context.Context, address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", bearer+c.token)
	return c.do(request, body)
}

func get[T any](ctx context.Context, c *Client, address, path string, query url.Values) (T, error) {
	var out T
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return out, errors.Wrap(err, "build request")
	}
	err = c.do(request, &out)
	return out, err
}

func (c *Client) do(request *http.Request, out any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	d := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode >= http.StatusBadRequest {
		var e Error
		if d.Decode(&e) != nil {
			return errors.Newf("status %s", response.Status)
		}
		return &e
	}
	if err := d.Decode(out); err != nil {
		return fmt.Errorf("%w: malformed response: %w", ErrUnreachable, err)
	}
	return nil
}
