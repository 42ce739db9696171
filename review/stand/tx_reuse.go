package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// sessionsEach is how many sessions open a transaction before the kill, and
	// how many others after it.
	sessionsEach = 4
	// restartDelay is the time between the end of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// ownerReturn is how long after its start the killed instance is given to
	// take its work back.
	ownerReturn = 1300 * time.Millisecond
)

// txClient is a client with one open transaction.
type txClient struct {
	*client
	ids       map[string]bool // of its statements
	committed bool            // it has sent COMMIT
}

// playTransactionAfterRestart opens transactions, kills the instance that holds
// their connections, opens transactions of other sessions after its restart and
// goes on with the first ones.
func playTransactionAfterRestart(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	owner, others := d.instances[0], d.instances[1:]
	early, err := openTransactions(d, "early", others, 0)
	if err != nil {
		return nil, err
	}
	pausedAt := time.Now()
	if trouble {
		d.kill(owner)
		time.Sleep(restartDelay)
		if err := d.start(owner); err != nil {
			return nil, err
		}
		if err := d.awaitReady(ctx, owner); err != nil {
			return nil, err
		}
	}
	time.Sleep(ownerReturn)
	late, err := openTransactions(d, "late", others, 1)
	if err != nil {
		return nil, err
	}
	d.record.note("the early sessions have paused for %s, tx_idle_ms is 3000", time.Since(pausedAt).Round(time.Millisecond))
	for _, c := range early {
		if a := c.run("WRITE early-more-" + c.name + " x"); a.ok() {
			c.committed = true
			c.run("COMMIT")
		}
	}
	for _, c := range late {
		c.run("ROLLBACK")
	}
	return checkTransactions(d.service.ran(), append(early, late...)), nil
}

// openTransactions opens a transaction with one write in several sessions, with
// the keys of the tenants in turn from first on.
func openTransactions(d *deployment, prefix string, at []*instance, first int) ([]*txClient, error) {
	var all []*txClient
	for n := range sessionsEach {
		c, err := connect(d.record, fmt.Sprintf("%s-%d", prefix, n+1), at[n%len(at)].front(), "orders", fmt.Sprintf("key-%d", (first+n)%3+1))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		t := &txClient{client: c, ids: make(map[string]bool)}
		all = append(all, t)
		t.run("BEGIN")
		if a := t.run("WRITE item-" + c.name + " pallets"); !a.ok() {
			return nil, fmt.Errorf("%w: %s could not write: %s", errNotRun, c.name, a)
		}
	}
	return all, nil
}

func (c *txClient) run(text string) answer {
	a := c.query(text)
	c.ids[a.id] = true
	return a
}

// checkTransactions returns where a statement ran inside another client's
// transaction, and which commits made permanent what another client wrote.
func checkTransactions(ran []execution, clients []*txClient) []string {
	ownerOf := func(id string) string {
		for _, c := range clients {
			if c.ids[id] {
				return c.name
			}
		}
		return ""
	}
	var out []string
	first := make(map[int]string) // client of the first statement, by transaction
	for _, e := range ran {
		by := ownerOf(e.id)
		if e.tx != 0 && by != "" {
			if holder, known := first[e.tx]; !known {
				first[e.tx] = by
			} else if holder != by {
				out = append(out, fmt.Sprintf("PINNED: %s %q of client %s ran on server %s conn %d inside transaction %d of client %s (account %s)",
					e.id, e.text, by, e.server, e.conn, e.tx, holder, e.account))
			}
		}
		for _, w := range e.writes {
			if writer := ownerOf(w.by); writer != by {
				out = append(out, fmt.Sprintf("UNASKED: %s %q of client %s committed %s=%q, which client %s had written and did not commit",
					e.id, e.text, by, w.item, w.data, writer))
			}
		}
	}
	return out
}
