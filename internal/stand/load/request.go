package load

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	shelves   = 50 // groups of stock rows that are looked up together
	shelfRows = 10
)

// answerError marks an answer that is not the one of the request. It holds
// which promise is broken.
type answerError struct {
	own, foreign, partial bool
	text                  string
}

func (e *answerError) Error() string { return e.text }

// do runs one attempt of a request.
func (c *caller) do(ctx context.Context, a arrival, id string) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	switch a.kind {
	case Order:
		return c.order(ctx, a, id)
	case Booking:
		return c.book(ctx, a, id)
	case OwnRead:
		if c.ownLast != "" {
			return c.readOwn(ctx)
		}
	}
	return c.lookUp(ctx, a)
}

// order sends one statement that carries its request identifier, so that it
// may be sent again.
func (c *caller) order(ctx context.Context, a arrival, id string) error {
	conn, err := c.conn(ctx, c.target.Orders)
	if err != nil {
		return err
	}
	sql := fmt.Sprintf("INSERT INTO orders (order_id, account, item, quantity) VALUES ($1, $2, $3, $4) /*request_id='%s'*/", id)
	tag, err := conn.Exec(ctx, sql, pgx.QueryExecModeExec, id, string(c.account.Name), itemOf(a.pick), "1")
	if err != nil {
		return errors.Wrap(err, "order")
	}
	if tag.String() != "INSERT 0 1" {
		return &answerError{foreign: true, text: fmt.Sprintf("order %s answered %q", id, tag)}
	}
	c.keepToken(conn)
	c.ownLast = id
	return nil
}

// book runs a transaction of two writes.
func (c *caller) book(ctx context.Context, a arrival, id string) error {
	conn, err := c.conn(ctx, c.target.Orders)
	if err != nil {
		return err
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		return errors.Wrap(err, "begin booking")
	}
	defer func() { _ = tx.Rollback(context.WithoutCancel(ctx)) }()
	var echo string
	row := tx.QueryRow(ctx, "INSERT INTO bookings (booking_id, slot) VALUES ($1, $2) RETURNING booking_id", id, itemOf(a.pick))
	if err := row.Scan(&echo); err != nil {
		return unfinished(err)
	}
	if echo != id {
		return &answerError{foreign: true, text: fmt.Sprintf("booking %s answered %q", id, echo)}
	}
	if _, err := tx.Exec(ctx, "INSERT INTO movements (booking_id, account) VALUES ($1, $2)", id, string(c.account.Name)); err != nil {
		return unfinished(err)
	}
	if err := tx.Commit(ctx); err != nil {
		return errors.Wrap(err, "commit booking")
	}
	c.keepToken(conn)
	return nil
}

// readOwn reads the session's last order. It must be there exactly once.
func (c *caller) readOwn(ctx context.Context) error {
	conn, err := c.conn(ctx, c.target.Orders)
	if err != nil {
		return err
	}
	rows, err := conn.Query(ctx, "SELECT order_id FROM orders WHERE order_id = $1", c.ownLast)
	if err != nil {
		return errors.Wrap(err, "read own order")
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return errors.Wrap(err, "read own order")
	}
	if len(ids) != 1 {
		return &answerError{own: true, text: fmt.Sprintf("session read its order %s %d times", c.ownLast, len(ids))}
	}
	if ids[0] != c.ownLast {
		return &answerError{foreign: true, text: fmt.Sprintf("read of order %s answered %q", c.ownLast, ids[0])}
	}
	return nil
}

// lookUp reads a shelf of stock. The whole shelf must come, and no other.
func (c *caller) lookUp(ctx context.Context, a arrival) error {
	conn, err := c.conn(ctx, c.target.Lookups)
	if err != nil {
		return err
	}
	return lookShelf(ctx, conn, shelfOf(a.pick))
}

func lookShelf(ctx context.Context, conn *pgx.Conn, shelf string) error {
	rows, err := conn.Query(ctx, "SELECT shelf, item FROM stock WHERE shelf = $1", shelf)
	if err != nil {
		return errors.Wrap(err, "look up stock")
	}
	type line struct{ Shelf, Item string }
	lines, err := pgx.CollectRows(rows, pgx.RowToStructByPos[line])
	if err != nil {
		return errors.Wrap(err, "look up stock")
	}
	for _, l := range lines {
		if l.Shelf != shelf {
			return &answerError{foreign: true, text: fmt.Sprintf("lookup of shelf %s answered %s", shelf, l.Shelf)}
		}
	}
	if len(lines) != shelfRows {
		return &answerError{partial: true, text: fmt.Sprintf("lookup of shelf %s has %d rows", shelf, len(lines))}
	}
	return nil
}

func shelfOf(pick uint64) string { return fmt.Sprintf("shelf-%d", pick%shelves) }

func itemOf(pick uint64) string { return fmt.Sprintf("item-%d", pick%(shelves*shelfRows)) }
