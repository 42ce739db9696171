package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// keepAlive pings the peer when a ping is due. It returns an error if the peer
// does not answer in time.
func (l *link) keepAlive(ctx context.Context) error {
	t := time.NewTicker(l.options.pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if !l.pingDue(time.Since(l.openedAt)) {
				continue
			}
			if err := l.ping(ctx); err != nil {
				return errors.Wrap(err, "ping")
			}
		}
	}
}

// pingDue reports whether the peer has to be pinged. While a reply is
// outstanding, the interval is short. Otherwise it grows with the number of
// peers, which bounds the instance's total ping rate.
func (l *link) pingDue(now time.Duration) bool {
	received, requested := time.Duration(l.lastReceived.Load()), time.Duration(l.lastRequest.Load())
	if requested >= received && requested > 0 {
		return now-received >= l.options.pingInterval
	}
	return now-received >= max(l.options.pingInterval, time.Duration(l.peerCount())*pingSpacing)
}

// ping pings the peer and waits for the answer, or until no data has arrived for
// the timeout. While data arrives, the answer may wait behind it.
func (l *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sentAt := time.Since(l.openedAt)
	answer := make(chan error, 1)
	l.tasks.Go(func(context.Context) error {
		answer <- l.conn.Ping(ctx)
		return nil
	})
	for {
		heard := max(sentAt, time.Duration(l.lastReceived.Load()))
		left := l.options.pingTimeout - (time.Since(l.openedAt) - heard)
		if left <= 0 {
			return errors.Wrap(context.DeadlineExceeded, "no data")
		}
		timer := time.NewTimer(left)
		select {
		case err := <-answer:
			timer.Stop()
			if err == nil {
				l.markReceived()
			}
			return err
		case <-timer.C:
		}
	}
}

func (l *link) markReceived() { l.lastReceived.Store(int64(time.Since(l.openedAt))) }
