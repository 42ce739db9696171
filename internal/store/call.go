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

// ErrRefused reports that the platform rejected a call for a reason that a
// retry does not fix, such as wrong credentials.
var ErrRefused = errors.New("refused by the platform")

const (
	defaultAttempts       = 3
	defaultAttemptTimeout = time.Second
	minBackoff            = 50 * time.Millisecond
	maxBackoff            = 500 * time.Millisecond
)

// retryPolicy states how calls to the platform are retried. Calls are hedged:
// when an attempt takes longer than its timeout, it keeps running while the
// next one starts, and the first definite answer counts. A lost call is thus
// noticed early, and a slow platform can still answer. See Dean and Barroso,
// "The Tail at Scale", CACM 56(2), 2013. Every write is conditional, so
// repeating one is harmless.
type retryPolicy struct {
	attempts       int
	attemptTimeout time.Duration // of the first attempt; doubles with each further one
}

// attemptResult is the result of one attempt.
type attemptResult[T any] struct {
	value T
	err   error
}

// call runs f until an attempt gives a definite answer. If all attempts fail,
// it returns ErrUnavailable, and the effect of the call is unknown.
func call[T any](ctx context.Context, policy retryPolicy, name string, f func(ctx context.Context) (T, error)) (T, error) {
	attempts := tasks.New(ctx)
	defer func() { _ = attempts.Close() }()
	results := make(chan attemptResult[T], policy.attempts)
	startTimer := time.NewTimer(0)
	defer startTimer.Stop()
	started, pending := 0, 0
	var lastErr error
	for {
		select {
		case <-startTimer.C:
			if started == policy.attempts {
				return unavailable[T](ctx, name, lastErr)
			}
			attempts.Go(func(ctx context.Context) error {
				value, err := runAttempt(ctx, name, f)
				results <- attemptResult[T]{value, err}
				return nil
			})
			startTimer.Reset(policy.attemptTimeout << started)
			started, pending = started+1, pending+1
		case r := <-results:
			pending--
			if r.err == nil || !retryable(r.err) {
				return r.value, r.err
			}
			lastErr = r.err
			if started == policy.attempts && pending == 0 {
				return unavailable[T](ctx, name, lastErr)
			}
			if started < policy.attempts {
				startTimer.Reset(backoff(started, rand.Float64()))
			}
		case <-ctx.Done():
			return unavailable[T](ctx, name, lastErr)
		}
	}
}

func unavailable[T any](ctx context.Context, name string, lastErr error) (T, error) {
	var zero T
	countAttempt(name, "unavailable")
	return zero, fmt.Errorf("%s: %w: %w", name, ErrUnavailable, errors.CombineErrors(ctx.Err(), lastErr))
}

// runAttempt runs f once. An attempt that ends because another one answered
// first is counted as overtaken.
func runAttempt[T any](ctx context.Context, name string, f func(ctx context.Context) (T, error)) (T, error) {
	start := time.Now()
	value, err := f(ctx)
	err = classify(err)
	if err != nil && ctx.Err() != nil {
		countAttempt(name, "overtaken")
		return value, err
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`marjoram_store_try_seconds{call=%q}`, name)).UpdateDuration(start)
	countAttempt(name, outcome(err))
	return value, err
}

// backoff returns the wait before the given attempt, with full jitter. See
// Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015. The
// random number is uniform in [0, 1).
func backoff(attempt int, random float64) time.Duration {
	limit := min(minBackoff<<(attempt-1), maxBackoff)
	return time.Duration(random * float64(limit))
}

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	return !errors.Is(err, ErrConflict) && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrRefused)
}

// classify wraps definite rejections by the platform in ErrRefused.
func classify(err error) error {
	if err == nil || !retryable(err) {
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
		return true // no complete answer arrived
	}
	status := response.HTTPStatusCode()
	return status < http.StatusBadRequest || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// transientCodes are the error codes that come with a client error status but
// that a retry can fix.
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

func countAttempt(name, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjoram_store_tries_total{call=%q,result=%q}`, name, result)).Inc()
}
