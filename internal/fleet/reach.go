package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// reach carries out the commands that go to the store, each in its own
// goroutine with a timeout.
func (f *Fleet) reach(c Cmd) {
	switch c := c.(type) {
	case ReadHead:
		f.visit(readTimeoutHead, f.readHead)
	case ReadText:
		f.visit(readTimeoutText, func(ctx context.Context) Msg { return f.readText(ctx, c) })
	case ReadRows:
		f.visit(readTimeoutHead, f.readRows)
	case ReadList:
		if f.ports.Directory != nil {
			f.visit(readTimeoutHead, f.readList)
		}
	case WriteRow:
		f.visit(writeTimeout, func(ctx context.Context) Msg { return f.writeRow(ctx, c) })
	case RemoveRow:
		f.visit(writeTimeout, func(ctx context.Context) Msg { return f.removeRow(ctx, c) })
	}
}

// visit runs a call to the store and hands its result, if any, to the loop.
func (f *Fleet) visit(timeout time.Duration, call func(context.Context) Msg) {
	f.group.Go(func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m := call(bounded)
		if m == nil {
			return nil
		}
		select {
		case f.inbox <- m:
		case <-ctx.Done():
		}
		return nil
	})
}

func (f *Fleet) readHead(ctx context.Context) Msg {
	began := time.Now()
	head, err := f.ports.Documents.Head(ctx, f.env)
	if !errors.Is(err, store.ErrNotFound) {
		f.stats.countRead(err)
	}
	return HeadRead{Began: began, Head: head, Err: err}
}

func (f *Fleet) readText(ctx context.Context, c ReadText) Msg {
	text, err := f.ports.Documents.Text(ctx, f.env, c.Version)
	f.stats.countRead(err)
	return TextGiven{Version: c.Version, Text: text, Err: err}
}

func (f *Fleet) readRows(ctx context.Context) Msg {
	began := time.Now()
	rows, err := f.ports.Members.All(ctx, f.env)
	f.stats.countRead(err)
	return RowsRead{Began: began, Rows: rows, Err: err}
}

func (f *Fleet) readList(ctx context.Context) Msg {
	listed, err := f.ports.Directory.List(ctx)
	f.stats.countRead(err)
	if err != nil {
		return nil
	}
	names := make([]ident.Instance, len(listed))
	for i, n := range listed {
		names[i] = ident.Instance(n.Name)
	}
	return Listed{Instances: names}
}

func (f *Fleet) writeRow(ctx context.Context, c WriteRow) Msg {
	err := f.ports.Members.Put(ctx, f.env, c.Member)
	f.stats.countWrite(err)
	return RowWritten{Err: err}
}

func (f *Fleet) removeRow(ctx context.Context, c RemoveRow) Msg {
	f.stats.countWrite(f.ports.Members.Delete(ctx, f.env, c.Instance))
	return nil
}
