package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"
)

// ErrRefused reports that the platform answered that it will not do the call,
// for a reason that no repeat mends, such as wrong credentials.
var ErrRefused = errors.New("refused by the platform")

const (
	defaultTries      = 3
	defaultTryTimeout = time.Second
	firstBackoff      = 50 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
)

// caller tries calls of the platform with a bounded time for each. The bound
// doubles with each try, so that a lost call is noticed early and a slow
// platform still gets to answer.
type caller struct {
	tries      int
	tryTimeout time.Duration // of the first try
}

// call runs f until it gives a definite result. An error that leaves the
// effect unknown is tried again; after the last try it is ErrUnavailable.
func (c caller) call(ctx context.Context, name string, f func(ctx context.Context) error) error {
	var err error
	for try := range c.tries {
		if try > 0 && !sleep(ctx, backoff(try, rand.Float64())) {
			break
		}
		if err = c.try(ctx, name, c.tryTimeout<<try, f); err == nil || !repeatable(err) {
			return err
		}
	}
	count(name, "unavailable")
	return fmt.Errorf("%s: %w: %w", name, ErrUnavailable, errors.CombineErrors(err, ctx.Err()))
}

func (c caller) try(ctx context.Context, name string, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	err := classify(f(ctx))
	metrics.GetOrCreateHistogram(fmt.Sprintf(`marjoram_store_try_seconds{call=%q}`, name)).UpdateDuration(start)
	count(name, result(err))
	return err
}

// backoff returns a full-jitter wait before the given try, after Brooker,
// "Exponential Backoff And Jitter", AWS Architecture Blog, 2015. The roll is
// uniform in [0, 1).
func backoff(try int, roll float64) time.Duration {
	limit := min(firstBackoff<<(try-1), maxBackoff)
	return time.Duration(roll * float64(limit))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// repeatable reports whether another try may help.
func repeatable(err error) bool {
	return !errors.Is(err, ErrConflict) && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrRefused)
}

// classify marks the errors that are definite answers of the platform.
func classify(err error) error {
	if err == nil || !repeatable(err) {
		return err
	}
	if transient(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrRefused, err)
}

func transient(err error) bool {
	var api smithy.APIError
	if errors.As(err, &api) && transientCodes[api.ErrorCode()] {
		return true
	}
	var response *awshttp.ResponseError
	if !errors.As(err, &response) {
		return true // no whole answer came
	}
	status := response.HTTPStatusCode()
	return status < http.StatusBadRequest || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// transientCodes are answers with a client error status that a repeat mends.
var transientCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"TransactionConflictException":           true,
	"TransactionCanceledException":           true,
	"TransactionInProgressException":         true,
	"RequestTimeout":                         true,
	"SlowDown":                               true,
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "not found"
	case errors.Is(err, ErrRefused):
		return "refused"
	}
	return "no answer"
}

func count(name, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_store_tries_total{call=%q,result=%q}`, name, result)).Inc()
}
