package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// executeStore executes the commands that access the store, each in its own
// goroutine with a timeout.
func (f *Fleet) executeStore(c Cmd) {
	switch c := c.(type) {
	case ReadHead:
		f.callStore(headReadTimeout, f.readHead)
	case ReadText:
		f.callStore(textReadTimeout, func(ctx context.Context) Msg { return f.readText(ctx, c) })
	case ReadRows:
		f.callStore(headReadTimeout, f.readRows)
	case ReadList:
		if f.deps.Directory != nil {
			f.callStore(headReadTimeout, f.readList)
		}
	case WriteRow:
		f.callStore(writeTimeout, func(ctx context.Context) Msg { return f.writeRow(ctx, c) })
	case RemoveRow:
		f.callStore(writeTimeout, func(ctx context.Context) Msg { return f.removeRow(ctx, c) })
	}
}

// callStore runs a call to the store and passes its result, if any, to the
// loop.
func (f *Fleet) callStore(timeout time.Duration, call func(context.Context) Msg) {
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
	startedAt := time.Now()
	head, err := f.deps.Documents.Head(ctx, f.env)
	if !errors.Is(err, store.ErrNotFound) {
		f.stats.countRead(err)
	}
	return HeadRead{StartedAt: startedAt, Head: head, Err: err}
}

func (f *Fleet) readText(ctx context.Context, c ReadText) Msg {
	text, err := f.deps.Documents.Text(ctx, f.env, c.Version)
	f.stats.countRead(err)
	return TextReceived{Version: c.Version, Text: text, Err: err}
}

func (f *Fleet) readRows(ctx context.Context) Msg {
	startedAt := time.Now()
	rows, err := f.deps.Members.All(ctx, f.env)
	f.stats.countRead(err)
	return RowsRead{StartedAt: startedAt, Rows: rows, Err: err}
}

func (f *Fleet) readList(ctx context.Context) Msg {
	listed, err := f.deps.Directory.List(ctx)
	f.stats.countRead(err)
	if err != nil {
		return nil
	}
	names := make([]ident.Instance, len(listed))
	for i, n := range listed {
		names[i] = ident.Instance(n.Name)
	}
	return InstancesListed{Instances: names}
}

func (f *Fleet) writeRow(ctx context.Context, c WriteRow) Msg {
	err := f.deps.Members.Put(ctx, f.env, c.Member)
	f.stats.countWrite(err)
	return RowWritten{Err: err}
}

func (f *Fleet) removeRow(ctx context.Context, c RemoveRow) Msg {
	f.stats.countWrite(f.deps.Members.Delete(ctx, f.env, c.Instance))
	return nil
}
