package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// configTime is the longer of config_apply_ms (3,000) and revoke_ms (5,000).
	configTime = 5 * time.Second
	// configMargin is how much later the statements that are judged are sent.
	configMargin = time.Second
	// stepPause is the pause between two statements of a transaction.
	stepPause = 500 * time.Millisecond
)

// playKeyInTransaction takes away a tenant's key, and the route of one of its
// sessions, while transactions are open.
func playKeyInTransaction(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	d.routes = append(append([]route{}, d.routes...), route{"orders-old", "primary", 800})
	d.putConfig()
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	leaver, err := beginTx(d, "leaver", "orders-old")
	if err != nil {
		return nil, err
	}
	control, err := beginTx(d, "control", "orders")
	if err != nil {
		return nil, err
	}
	if trouble {
		d.routes = d.routes[:len(d.routes)-1]
		d.tenants = d.tenants[:len(d.tenants)-1]
		d.putConfig()
	}
	acked := time.Now()
	late := make(map[string]bool) // statements that were sent too late to be run
	for step := 1; ; step++ {
		time.Sleep(stepPause)
		judged := time.Since(acked) > configTime+configMargin
		for _, c := range []*txClient{control, leaver} {
			text := fmt.Sprintf("WRITE %s-%d pallets", c.name, step)
			if judged && len(late) > 0 {
				text = "COMMIT"
			}
			if c.committed {
				continue
			}
			a := c.run(text)
			if judged {
				late[a.id] = true
			}
			if !a.ok() || text == "COMMIT" {
				c.committed = true // nothing more follows
			}
		}
		if leaver.committed {
			break
		}
	}
	var out []string
	for _, e := range d.service.ran() {
		if trouble && late[e.id] {
			out = append(out, fmt.Sprintf("CONFIG: %s %q was sent more than %s after the store had acknowledged the version without its key, and ran on server %s for account %s, commits %s",
				e.id, e.text, configTime+configMargin, e.server, e.account, items(e.writes)))
		}
	}
	return out, nil
}

// beginTx opens a transaction of tenant-3 with one write.
func beginTx(d *deployment, name, database string) (*txClient, error) {
	c, err := connect(d.record, name, d.instances[1].front(), database, "key-3")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	t := &txClient{client: c, ids: make(map[string]bool)}
	t.run("BEGIN")
	if a := t.run("WRITE " + name + "-0 pallets"); !a.ok() {
		return nil, fmt.Errorf("%w: %s could not write: %s", errNotRun, name, a)
	}
	return t, nil
}
