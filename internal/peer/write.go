package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// write sends queued messages. A short one goes before the next part of a large
// one. Once the link is to be finished, it sends what is queued.
func (l *link) write(ctx context.Context) error {
	for {
		progress, err := l.writeQueued(ctx)
		if err != nil {
			return err
		}
		if progress {
			continue
		}
		if l.splitter.flushing {
			return l.writeLast(ctx)
		}
		if err := l.awaitWork(ctx, l.flush); err != nil {
			return err
		}
	}
}

// awaitWork waits for something to do.
func (l *link) awaitWork(ctx context.Context, flush <-chan struct{}) error {
	large := l.large
	if l.splitter.busy() {
		large = nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-flush:
		l.splitter.flushing = true
	case <-l.received:
		l.splitter.received()
	case f := <-l.queue:
		return l.writeOne(ctx, f)
	case f := <-large:
		l.splitter.start(f)
	}
	return nil
}

// writeQueued sends some short messages and one part of a large one, as far as they
// are queued. It reports whether it sent anything.
func (l *link) writeQueued(ctx context.Context) (bool, error) {
	short, err := l.writeShort(ctx)
	if err != nil {
		return false, err
	}
	part, err := l.writePart(ctx)
	return short || part, err
}

// writeShort sends up to maxShortRun short messages and reports whether there were
// any.
func (l *link) writeShort(ctx context.Context) (bool, error) {
	for n := range maxShortRun {
		select {
		case f := <-l.queue:
			if err := l.writeOne(ctx, f); err != nil {
				return false, err
			}
		default:
			return n > 0, nil
		}
	}
	return true, nil
}

// writePart sends the next part of a large message and reports whether there was
// one that could be sent.
func (l *link) writePart(ctx context.Context) (bool, error) {
	if l.splitter.blocked() {
		return false, nil
	}
	if !l.splitter.busy() {
		select {
		case f := <-l.large:
			l.splitter.start(f)
		default:
			return false, nil
		}
	}
	whole := l.splitter.frame
	part, err := l.splitter.next()
	if err != nil {
		return false, err
	}
	if err := l.writeFrame(ctx, part); err != nil {
		return false, err
	}
	if !l.splitter.busy() {
		l.queued.Add(-int64(len(whole.bytes)))
		l.stats.countSent(whole.kind, len(whole.bytes))
	}
	return true, nil
}

// writeLast sends the last message and waits until the reader has received the
// peer's, for a limited time.
func (l *link) writeLast(ctx context.Context) error {
	bytes, err := Encode(Last{})
	if err != nil {
		return err
	}
	l.queued.Add(int64(len(bytes)))
	if err := l.writeOne(ctx, frame{kind: LastKind, bytes: bytes}); err != nil {
		return err
	}
	close(l.sentLast)
	tasks.Pause(ctx, lastTimeout)
	return errFinished
}

func (l *link) writeOne(ctx context.Context, f frame) error {
	l.queued.Add(-int64(len(f.bytes)))
	if err := l.writeFrame(ctx, f); err != nil {
		return err
	}
	l.stats.countSent(f.kind, len(f.bytes))
	return nil
}

func (l *link) writeFrame(ctx context.Context, f frame) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrapf(l.conn.Write(ctx, websocket.MessageBinary, f.bytes), "write %s", f.kind)
}
