package endpt

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// query executes the statements of one Query message. Outside an explicit
// transaction they form one implicit transaction; the first error aborts the
// rest.
func (x *session) query(ctx context.Context, text string) {
	statements, err := parse(text)
	if err != nil {
		x.sendError(err)
		return
	}
	if len(statements) == 0 {
		x.back.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	ctx, done := x.cancellable(ctx)
	defer done()
	for i, st := range statements {
		if err := x.simple(ctx, st, i == len(statements)-1); err != nil {
			x.sendError(err)
			return
		}
	}
}

func (x *session) simple(ctx context.Context, st *statement, last bool) error {
	r, err := x.run(ctx, st, nil)
	if err != nil {
		return err
	}
	if last {
		if err := x.commitImplicit(); err != nil {
			return err
		}
	}
	if r.columns != nil {
		x.back.Send(describeRows(r.columns, nil))
	}
	x.sendRows(r.columns, r.rows, nil)
	x.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

// commitImplicit commits an implicit transaction. An error discards the
// transaction.
func (x *session) commitImplicit() error {
	if x.txn == nil || x.txn.explicit {
		return nil
	}
	return x.commit()
}
