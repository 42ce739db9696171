package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
)

const (
	// copyDelay is how long after the first change of primary the copy is made,
	// and releaseGap the further pause before the next change.
	copyDelay  = 3500 * time.Millisecond
	releaseGap = 3500 * time.Millisecond
	// changeTimeout limits the wait for the next primary.
	changeTimeout = 20 * time.Second
	// leaveTime is how long a draining server serves: drain_ms and many seconds more.
	leaveTime = 40 * time.Second
	// awayDelay is how long after the second change of primary the store goes away,
	// and awayTime for how long.
	awayDelay = 50 * time.Millisecond
	awayTime  = 1500 * time.Millisecond
	// settleTime is the further time after the drill before the next change.
	settleTime = 9 * time.Second
)

// playEpochAfterDrill replaces the primaries one after the other. After the second
// change, the store comes back from a copy of some seconds before that change.
func playEpochAfterDrill(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	var copied storeCopy
	for n := 1; n <= 3; n++ {
		if err := d.release(); err != nil {
			return nil, err
		}
		if trouble && n == 2 {
			time.Sleep(awayDelay)
			d.drill(copied)
		}
		time.Sleep(copyDelay)
		if n == 1 {
			copied = d.copyStore()
		}
		if n == 2 {
			time.Sleep(settleTime)
		}
		time.Sleep(releaseGap)
	}
	return checkPromotions(d.promoted), nil
}

// release replaces the primary: a new server starts first, the old one drains and
// leaves. It waits until another server leads.
func (d *deployment) release() error {
	old := d.service.leader()
	if old == nil {
		return fmt.Errorf("%w: no primary", errNotRun)
	}
	if err := d.service.add(old.zone, d.site.slots); err != nil {
		return err
	}
	d.putServers()
	time.Sleep(heartbeat)
	old.set(func() { old.draining = true })
	d.putServers()
	d.record.note("server %s drains", old.id)
	for end := time.Now().Add(changeTimeout); old.isPrimary(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s was not replaced", errNotRun, old.id)
		}
	}
	d.putServers()
	time.AfterFunc(leaveTime, func() {
		old.set(func() { old.gone = true })
		_ = old.listener.Close()
	})
	return nil
}

// drill makes the store go away and come back from a copy. Then the operator and the
// servers write what they wrote again.
func (d *deployment) drill(copied storeCopy) {
	d.currentStore().Fail(http.StatusServiceUnavailable)
	d.record.note("store: is away")
	time.Sleep(awayTime)
	restored := copied.restore()
	d.tokens.Lock()
	d.store = restored
	d.era++
	d.tokens.Unlock()
	d.record.note("store: is back from a copy of %s before, version %d", time.Since(copied.at).Round(time.Millisecond), copied.version)
	d.currentStore().Put("op", "config", d.config)
	d.putServers()
}

// storeCopy holds the rows of a store.
type storeCopy struct {
	rows    []emul.Row
	version uint64
	at      time.Time
}

// rowsAnswer is the body of an answer about rows.
type rowsAnswer struct {
	Rows    []emul.Row `json:"rows"`
	Version uint64     `json:"ver"`
}

// copyStore copies the tables of the store.
func (d *deployment) copyStore() storeCopy {
	c := storeCopy{at: time.Now()}
	for _, table := range []string{"op", "servers", "members", "duties"} {
		a := readTable(d.currentStore(), table)
		c.rows, c.version = append(c.rows, a.Rows...), max(c.version, a.Version)
	}
	slices.SortFunc(c.rows, func(a, b emul.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range c.rows {
		if r.Table == "duties" {
			d.record.note("store: the copy has %s %s", r.Key, r.Value)
		}
	}
	return c
}

// restore returns a store with the rows and the version of the copy.
func (c storeCopy) restore() *emul.Store {
	s := emul.NewStore()
	written := uint64(0)
	fill := func(until uint64) {
		for ; written < until; written++ {
			s.Put("filler", "row", nil)
		}
	}
	for _, r := range c.rows {
		fill(r.Version - 1)
		s.Put(r.Table, r.Key, r.Value)
		written++
	}
	fill(c.version)
	return s
}

// readTable reads a table of a store.
func readTable(s *emul.Store, table string) (a rowsAnswer) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/marjoramrudder/rows-get?part=&table="+table, nil))
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		return rowsAnswer{} // the store is away
	}
	return a
}

// storeVersion returns the newest version of a store. It is the highest one while
// the store is away.
func storeVersion(s *emul.Store) uint64 {
	if a := readTable(s, "op"); a.Version > 0 {
		return a.Version
	}
	return ^uint64(0)
}

// checkPromotions returns the epoch numbers with which two holders have promoted.
func checkPromotions(all []promotion) []string {
	var out []string
	for i, p := range all {
		for _, o := range all[:i] {
			if o.token == p.token && o.holder != p.holder {
				out = append(out, fmt.Sprintf("ONE: %s promoted %s and %s promoted %s, both with the epoch number %d", o.holder, o.server, p.holder, p.server, p.token))
			}
		}
	}
	return out
}
