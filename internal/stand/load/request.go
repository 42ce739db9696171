package load

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	shelves   = 50 // sets of stock rows that are looked up together
	shelfRows = 10
)

// answerError reports an answer that violates a guarantee.
type answerError struct {
	ownWrite, foreign, partial bool
	text                       string
}

func (e *answerError) Error() string { return e.text }

// do executes one attempt of a request.
func (c *caller) do(ctx context.Context, a arrival, id string) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	switch a.kind {
	case Order:
		return c.order(ctx, a, id)
	case Booking:
		return c.book(ctx, a, id)
	case OwnRead:
		if c.lastOrder != "" {
			return c.readOwn(ctx)
		}
	}
	return c.lookUp(ctx, a)
}

// order sends one statement with its request identifier, so that it can be sent
// again.
func (c *caller) order(ctx context.Context, a arrival, id string) error {
	conn, err := c.conn(ctx, c.target.Orders)
	if err != nil {
		return err
	}
	sql := fmt.Sprintf("INSERT INTO orders (order_id, account, item, quantity) VALUES ($1, $2, $3, $4) /*request_id='%s'*/", id)
	tag, err := conn.Exec(ctx, sql, pgx.QueryExecModeExec, id, string(c.account.Name), itemOf(a.row), "1")
	if err != nil {
		return errors.Wrap(err, "order")
	}
	if tag.String() != "INSERT 0 1" {
		return &answerError{foreign: true, text: fmt.Sprintf("order %s answered %q", id, tag)}
	}
	c.storeToken(conn)
	c.lastOrder = id
	return nil
}

// book executes a transaction of two writes.
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
	row := tx.QueryRow(ctx, "INSERT INTO bookings (booking_id, slot) VALUES ($1, $2) RETURNING booking_id", id, itemOf(a.row))
	if err := row.Scan(&echo); err != nil {
		return uncommitted(err)
	}
	if echo != id {
		return &answerError{foreign: true, text: fmt.Sprintf("booking %s answered %q", id, echo)}
	}
	if _, err := tx.Exec(ctx, "INSERT INTO movements (booking_id, account) VALUES ($1, $2)", id, string(c.account.Name)); err != nil {
		return uncommitted(err)
	}
	if err := tx.Commit(ctx); err != nil {
		return errors.Wrap(err, "commit booking")
	}
	c.storeToken(conn)
	return nil
}

// readOwn reads the session's last order, which must be found exactly once.
func (c *caller) readOwn(ctx context.Context) error {
	conn, err := c.conn(ctx, c.target.Orders)
	if err != nil {
		return err
	}
	rows, err := conn.Query(ctx, "SELECT order_id FROM orders WHERE order_id = $1", c.lastOrder)
	if err != nil {
		return errors.Wrap(err, "read own order")
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return errors.Wrap(err, "read own order")
	}
	if len(ids) != 1 {
		return &answerError{ownWrite: true, text: fmt.Sprintf("session read its order %s %d times", c.lastOrder, len(ids))}
	}
	if ids[0] != c.lastOrder {
		return &answerError{foreign: true, text: fmt.Sprintf("read of order %s answered %q", c.lastOrder, ids[0])}
	}
	return nil
}

// lookUp reads a shelf of stock. The answer must hold the whole shelf and
// nothing else.
func (c *caller) lookUp(ctx context.Context, a arrival) error {
	conn, err := c.conn(ctx, c.target.Lookups)
	if err != nil {
		return err
	}
	return readShelf(ctx, conn, shelfOf(a.row))
}

func readShelf(ctx context.Context, conn *pgx.Conn, shelf string) error {
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
