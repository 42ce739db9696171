package peer

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/meter"
)

func (l *link) read(ctx context.Context) error {
	for {
		raw, err := l.readMessage(ctx)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		m, size, err := l.decode(raw)
		if errors.Is(err, ErrUnknownKind) {
			l.stats.unknown.Inc()
			continue
		}
		if err != nil {
			l.stats.malformed.Inc()
			return err
		}
		if m == nil {
			continue
		}
		l.stats.countReceived(KindOf(m), size)
		if _, ok := m.(Last); ok {
			return l.answerLast(ctx)
		}
		l.receive(m)
	}
}

// decode decodes a frame, or the frame whose last part it is, and returns the size
// of that frame. It returns nil if parts are missing.
func (l *link) decode(raw []byte) (Message, int, error) {
	m, err := Decode(raw)
	if err != nil {
		return nil, 0, err
	}
	if _, ok := m.(PartReceived); ok {
		l.partReceived()
		return nil, 0, nil
	}
	p, ok := m.(Part)
	if !ok {
		return m, len(raw), nil
	}
	if err := l.confirmPart(); err != nil {
		return nil, 0, err
	}
	joined, err := l.joiner.add(p)
	if joined == nil {
		return nil, 0, err
	}
	m, err = Decode(joined)
	if _, nested := m.(Part); nested {
		return nil, 0, errors.Wrap(ErrMalformed, "part in parts")
	}
	return m, len(joined), err
}

// partReceived tells the writer that the peer has received a part.
func (l *link) partReceived() {
	select {
	case l.received <- struct{}{}:
	default: // more than were sent
	}
}

// confirmPart tells the peer that a part was received.
func (l *link) confirmPart() error {
	encoded, err := Encode(PartReceived{})
	if err != nil {
		return err
	}
	if !l.send(frame{kind: PartReceivedKind, bytes: encoded}) {
		return errQueueFull
	}
	return nil
}

// readMessage reads one message and records when its parts arrive. The result is
// valid until the next call.
func (l *link) readMessage(ctx context.Context) ([]byte, error) {
	l.incomplete.Store(int64(len(l.joiner.bytes)))
	_, r, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	if l.inbound.Cap() > maxKeptBuffer {
		l.inbound = bytes.Buffer{}
	}
	l.inbound.Reset()
	if _, err := l.inbound.ReadFrom(meter.NewReader(r, l.dataArrived)); err != nil {
		return nil, err
	}
	return l.inbound.Bytes(), nil
}

// dataArrived records the arrival of bytes of a message.
func (l *link) dataArrived(size int) {
	l.markReceived()
	l.incomplete.Add(int64(size))
}

// answerLast finishes the link after the peer's last message.
func (l *link) answerLast(ctx context.Context) error {
	l.finish()
	select {
	case <-l.sentLast:
		return errFinished
	case <-ctx.Done():
		return ctx.Err()
	}
}
