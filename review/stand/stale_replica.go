package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
)

const (
	// deafBefore is how long one replica has received nothing when the outage of the
	// store begins, and deafTime how long it receives nothing in all.
	deafBefore = 500 * time.Millisecond
	deafTime   = 6500 * time.Millisecond
	// outageTime is how long the store answers 503.
	outageTime = 4500 * time.Millisecond
	// lapseTime is after how long the entries of the servers are removed, which can't
	// write them meanwhile: three check-in intervals and a bit.
	lapseTime = 3*heartbeat + 300*time.Millisecond
	// killTime is how long after the beginning of the outage all instances are
	// killed.
	killTime = 4100 * time.Millisecond
	// firstReturn and lastReturn are how long after the store's return the entry of
	// the replica that lags and those of the others are back, within two seconds.
	firstReturn = 100 * time.Millisecond
	lastReturn  = 1500 * time.Millisecond
	// catchUpTime is the time after that.
	catchUpTime = 4 * time.Second
	// orderPause is the pause between two orders.
	orderPause = 100 * time.Millisecond
)

// playStaleReplica lets the entries of all servers lapse in an outage of the store
// while one replica receives nothing, and restarts all instances.
func playStaleReplica(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	one, err := connect(d.record, "one", d.instances[1].front(), "orders", "key-1")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	if a := one.query("WRITE order-0 pallets"); !a.ok() {
		return nil, fmt.Errorf("%w: the first write failed: %s", errNotRun, a)
	}
	deaf, began := d.group.Server(2), time.Now()
	if trouble {
		deaf.SetReplicationCut(true)
		d.record.note("server %s receives nothing", deaf.ID())
	}
	acked := writeOrders(one, 1, began.Add(deafBefore))
	outage := time.Now()
	if trouble {
		d.store.Fail(http.StatusServiceUnavailable)
		d.record.note("store: answers 503")
	}
	acked = append(acked, writeOrders(one, 1000, outage.Add(lapseTime))...)
	if trouble {
		if err := d.restartInOutage(ctx, outage, deaf); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(began.Add(deafTime)))
		deaf.SetReplicationCut(false)
		d.record.note("server %s receives again", deaf.ID())
	}
	time.Sleep(catchUpTime)
	return checkOrders(d, acked)
}

// writeOrders writes one order after the other until the given time. It returns
// those that were acknowledged.
func writeOrders(c *client, first int, until time.Time) (acked []string) {
	for n := first; time.Now().Before(until); n++ {
		item := fmt.Sprintf("order-%d", n)
		if a := c.query("WRITE " + item + " pallets"); a.ok() {
			acked = append(acked, item)
		}
		time.Sleep(orderPause)
	}
	return acked
}

// restartInOutage removes the entries of all servers, restarts all instances and
// ends the outage of the store. The entry of one server is back first.
func (d *deployment) restartInOutage(ctx context.Context, outage time.Time, first *emul.Server) error {
	for _, v := range d.group.Servers() {
		d.lapse(v)
	}
	time.Sleep(time.Until(outage.Add(killTime)))
	for _, i := range d.instances {
		d.kill(i)
	}
	time.Sleep(restartDelay)
	for _, i := range d.instances {
		if err := d.start(i); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(outage.Add(outageTime)))
	d.store.Fail(0)
	d.record.note("store: is back")
	time.Sleep(firstReturn)
	d.register(first)
	time.Sleep(lastReturn - firstReturn)
	for _, v := range d.group.Servers() {
		d.register(v)
	}
	for _, i := range d.instances {
		if err := d.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// checkOrders returns the acknowledged commits that are not in the log of the
// promoted server, and those that a client does not find any more.
func checkOrders(d *deployment, acked []string) ([]string, error) {
	var out []string
	for _, e := range d.group.Lost() {
		out = append(out, fmt.Sprintf("LOST: the acknowledged commit %d.%d (%s) is not in the log of the promoted server", e.Position.Term, e.Position.Position, e.Item))
	}
	reader, err := connect(d.record, "reader", d.instances[1].front(), "orders", "key-1")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	missing := 0
	for _, item := range acked {
		if a := reader.query("READ " + item); a.ok() && len(a.rows) == 1 && a.rows[0] != "pallets" {
			missing++
		}
	}
	for _, v := range d.group.Servers() {
		for _, r := range v.Runs() {
			d.record.note("server %s ran %s %q for %s at %.3f", v.ID(), r.ID, r.Text, r.Account, r.Ended.Sub(d.record.began).Seconds())
		}
	}
	d.record.note("%d of %d acknowledged orders are not found any more", missing, len(acked))
	return out, nil
}
