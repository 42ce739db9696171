package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxListBytes limits the size of the list of instances.
const maxListBytes = 4 << 20

// directory reads the platform's list over HTTP.
type directory struct {
	client *http.Client
	url    string
	retry  retryPolicy
}

// List implements Directory.
func (d *directory) List(ctx context.Context) ([]DirectoryEntry, error) {
	listed, err := call(ctx, d.retry, "List", d.fetch)
	return listed, errors.Wrap(err, "read list of instances")
}

func (d *directory) fetch(ctx context.Context) ([]DirectoryEntry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	var listed []DirectoryEntry
	if err := json.Unmarshal(body, &listed); err != nil {
		return nil, fmt.Errorf("%w: not a list of instances: %w", ErrRefused, err)
	}
	return listed, nil
}
