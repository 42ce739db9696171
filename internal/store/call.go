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

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
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

// caller tries calls of the platform with a bounded time for each. A try that
// takes longer than its bound is not given up: the next one starts beside it,
// and the first definite answer counts. So a lost call is noticed early, and a
// slow platform still gets to answer. After Dean and Barroso, "The Tail at
// Scale", CACM 56(2), 2013. Every write is conditional, so that a repeat is
// harmless.
type caller struct {
	tries      int
	tryTimeout time.Duration // of the first try; it doubles with each
}

// result is the end of one try.
type result[T any] struct {
	value T
	err   error
}

// call runs f until a try gives a definite answer. After the last try it
// returns ErrUnavailable, which leaves the effect unknown.
func call[T any](ctx context.Context, c caller, name string, f func(ctx context.Context) (T, error)) (T, error) {
	group := tasks.New(ctx)
	defer func() { _ = group.Close() }()
	results := make(chan result[T], c.tries)
	next := time.NewTimer(0)
	defer next.Stop()
	started, open := 0, 0
	var last error
	for {
		select {
		case <-next.C:
			if started == c.tries {
				return unavailable[T](ctx, name, last)
			}
			group.Go(func(ctx context.Context) error {
				value, err := try(ctx, name, f)
				results <- result[T]{value, err}
				return nil
			})
			next.Reset(c.tryTimeout << started)
			started, open = started+1, open+1
		case r := <-results:
			open--
			if r.err == nil || !repeatable(r.err) {
				return r.value, r.err
			}
			last = r.err
			if started == c.tries && open == 0 {
				return unavailable[T](ctx, name, last)
			}
			if started < c.tries {
				next.Reset(backoff(started, rand.Float64()))
			}
		case <-ctx.Done():
			return unavailable[T](ctx, name, last)
		}
	}
}

func unavailable[T any](ctx context.Context, name string, last error) (T, error) {
	var none T
	count(name, "unavailable")
	return none, fmt.Errorf("%s: %w: %w", name, ErrUnavailable, errors.CombineErrors(ctx.Err(), last))
}

// try runs f once. A try that ends since another one answered first is
// counted apart.
func try[T any](ctx context.Context, name string, f func(ctx context.Context) (T, error)) (T, error) {
	start := time.Now()
	value, err := f(ctx)
	err = classify(err)
	if err != nil && ctx.Err() != nil {
		count(name, "overtaken")
		return value, err
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`marjoram_store_try_seconds{call=%q}`, name)).UpdateDuration(start)
	count(name, outcome(err))
	return value, err
}

// backoff returns a full-jitter wait before the given try, after Brooker,
// "Exponential Backoff And Jitter", AWS Architecture Blog, 2015. The roll is
// uniform in [0, 1).
func backoff(try int, roll float64) time.Duration {
	limit := min(firstBackoff<<(try-1), maxBackoff)
	return time.Duration(roll * float64(limit))
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

func outcome(err error) string {
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
