package lines

import (
	"math/rand/v2"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// maxEntryReturn is the time within which the entries of the servers are back after
// they have lapsed in an outage of the store.
const maxEntryReturn = 2 * time.Second

// entries are the entries of the servers in the store.
type entries struct {
	published map[ident.Endpoint]string // the latest ones
	// lapsed is set while the entries are gone until the store is back. They return
	// at the times in until.
	lapsed bool
	until  map[ident.Endpoint]time.Time
}

// missing reports whether the entry of a server has lapsed and is not back yet.
func (e *entries) missing(now time.Time, id ident.Endpoint) bool {
	return e.lapsed || now.Before(e.until[id])
}

// publishEntries writes the entries that have changed.
func (d *Deployment) publishEntries() {
	d.entriesMu.Lock()
	defer d.entriesMu.Unlock()
	for _, g := range d.groups {
		for _, s := range g.Servers() {
			text := s.Entry(d.links[s.ID()].Address(), dataCentre)
			if d.entries.published[s.ID()] == string(text) || d.entries.missing(time.Now(), s.ID()) {
				continue
			}
			d.entries.published[s.ID()] = string(text)
			d.store.Put(emul.ServerTable, string(s.ID()), text)
		}
	}
}

// lapse removes the entries of all servers from the store until it is back.
func (d *Deployment) lapse() {
	d.entriesMu.Lock()
	defer d.entriesMu.Unlock()
	d.entries.lapsed = true
	clear(d.entries.published)
	for _, key := range d.store.Keys(emul.ServerTable) {
		d.store.Drop(emul.ServerTable, key)
	}
}

// storeUp ends an outage of the store. Entries that have lapsed return one after the
// other, in an order that the seed decides.
func (d *Deployment) storeUp() {
	d.entriesMu.Lock()
	defer d.entriesMu.Unlock()
	if d.entries.lapsed {
		d.entries.lapsed = false
		d.entries.until = d.returnTimes(time.Now())
	}
	d.store.Fail(0)
}

// returnTimes draws when the entries of the servers are back. The caller holds the
// mutex.
func (d *Deployment) returnTimes(now time.Time) map[ident.Endpoint]time.Time {
	d.outages++
	random := rand.New(rand.NewPCG(d.config.Seed, uint64(d.outages)))
	until := make(map[ident.Endpoint]time.Time)
	for _, g := range d.groups {
		for _, s := range g.Servers() {
			until[s.ID()] = now.Add(time.Duration(random.Int64N(int64(maxEntryReturn))))
		}
	}
	return until
}

// returnFromCopy ends an outage of the store. It comes back from the copy that was
// taken last; what the operator and the servers wrote since is written again.
func (d *Deployment) returnFromCopy() {
	d.store.ReturnFromCopy(emul.ConfigTable, emul.ServerTable)
	d.storeUp()
}
