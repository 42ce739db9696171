package load

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	verifyTimeout = 60 * time.Second
	verifyPause   = 100 * time.Millisecond
	fillTimeout   = 60 * time.Second
)

// verify reads each group through its primary and compares the content with the
// outcomes that callers saw.
func (r *run) verify(ctx context.Context, report *Report) {
	for i := range r.config.Targets {
		stored, err := r.read(ctx, i)
		if err != nil {
			v := &report.Violations
			v.add(&v.Unverified, "group %s could not be read: %v", r.config.Targets[i].Group, err)
			continue
		}
		r.histories[i].check(stored, &report.Violations)
	}
}

// read tries one proxy after another until it has read the whole content of a
// group. Its error is that of the last attempt that did not fail for lack of time.
func (r *run) read(ctx context.Context, target int) (storedIDs, error) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	c := newCaller(&r.config, 0, target, r.config.Sessions)
	defer c.close()
	var last error
	for attempts := 1; ; attempts++ {
		stored, err := c.readAll(ctx)
		if err == nil {
			return stored, nil
		}
		if ctx.Err() != nil {
			return stored, errors.Wrapf(cmp.Or(last, err), "%d attempts", attempts)
		}
		last = err
		c.move()
		tasks.PauseUntil(ctx, time.Now().Add(verifyPause))
	}
}

// readAll reads in a read-write transaction, so that the primary serves it.
func (c *caller) readAll(ctx context.Context) (storedIDs, error) {
	var stored storedIDs
	conn, err := c.conn(ctx, c.target.Orders)
	if err != nil {
		return stored, err
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		return stored, errors.Wrap(err, "begin to verify")
	}
	defer func() { _ = tx.Rollback(context.WithoutCancel(ctx)) }()
	for sql, to := range map[string]*map[string]int{
		"SELECT order_id FROM orders":      &stored.orders,
		"SELECT booking_id FROM bookings":  &stored.bookings,
		"SELECT booking_id FROM movements": &stored.movements,
	} {
		rows, err := tx.Query(ctx, sql)
		if err != nil {
			return stored, errors.Wrap(err, "verify")
		}
		ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
		if err != nil {
			return stored, errors.Wrap(err, "verify")
		}
		*to = make(map[string]int, len(ids))
		for _, id := range ids {
			(*to)[id]++
		}
	}
	return stored, errors.Wrap(tx.Commit(ctx), "verify")
}

// Fill writes the stock that lookups read into every target, as the first
// account, and waits until the lookup routes return it.
func Fill(ctx context.Context, config Config) error {
	c, err := config.checked()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fillTimeout)
	defer cancel()
	for t := range c.Targets {
		if err := newCaller(&c, 0, t, c.Sessions).fill(ctx); err != nil {
			return errors.Wrapf(err, "fill group %s", c.Targets[t].Group)
		}
	}
	return nil
}

// fill writes every shelf and then waits until lookups return every shelf.
func (c *caller) fill(ctx context.Context) error {
	defer c.close()
	for _, step := range []func(context.Context, uint64) error{c.fillShelf, c.checkShelf} {
		for n := uint64(0); n < shelves; {
			err := step(ctx, n)
			if err == nil {
				n++
				continue
			}
			if !tasks.PauseUntil(ctx, time.Now().Add(verifyPause)) {
				return err
			}
			c.prepareNext(classify(err))
		}
	}
	return nil
}

// fillShelf writes the rows of one shelf. The request identifier prevents a
// repeat from writing them twice.
func (c *caller) fillShelf(ctx context.Context, shelf uint64) error {
	conn, err := c.conn(ctx, c.target.Orders)
	if err != nil {
		return err
	}
	var values []string
	for n := range uint64(shelfRows) {
		values = append(values, fmt.Sprintf("('%s', '%s')", itemOf(shelf+n*shelves), shelfOf(shelf)))
	}
	sql := "INSERT INTO stock (item, shelf) VALUES " + strings.Join(values, ", ") + " /*request_id='fill-" + shelfOf(shelf) + "'*/"
	_, err = conn.Exec(ctx, sql, pgx.QueryExecModeExec)
	return errors.Wrap(err, "fill stock")
}

func (c *caller) checkShelf(ctx context.Context, shelf uint64) error {
	conn, err := c.conn(ctx, c.target.Lookups)
	if err != nil {
		return err
	}
	return readShelf(ctx, conn, shelfOf(shelf))
}
