package main

import (
	"net"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// withLogs returns a site whose servers have a log each: the project's own
// stand-ins.
func withLogs(s site) site {
	s.logs = true
	return s
}

// openGroup starts the servers. The first one is the primary.
func (d *deployment) openGroup() error {
	var all []ident.DataCentre
	for _, z := range d.site.zones {
		all = append(all, ident.DataCentre(z))
	}
	d.group = emul.NewGroup(emul.GroupConfig{
		Name: serviceName, Servers: len(d.site.zones), Slots: d.site.slots, MaxConns: d.site.maxConns, Sync: 1,
		Work: workTime, Lag: replicaLag, PromoteTime: promoteTime, DataCentres: all,
	})
	d.store = emul.NewStore(d.group)
	d.listeners = make(map[ident.Endpoint]net.Listener)
	for _, v := range d.group.Servers() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		d.listeners[v.ID()] = l
		go v.ServeListener(l)
	}
	return nil
}

// putGroup writes the entries of the servers, except those that have lapsed.
func (d *deployment) putGroup() {
	d.tokens.Lock()
	defer d.tokens.Unlock()
	for _, v := range d.group.Servers() {
		if !d.lapsed[v.ID()] {
			d.store.Put("servers", string(v.ID()), v.Entry(d.listeners[v.ID()].Addr().String(), ""))
		}
	}
}

// lapse removes the entry of a server.
func (d *deployment) lapse(v *emul.Server) {
	d.tokens.Lock()
	defer d.tokens.Unlock()
	d.lapsed[v.ID()] = true
	d.store.Drop("servers", string(v.ID()))
	d.record.note("store: the entry of %s is removed", v.ID())
}

// register writes the entry of a server again.
func (d *deployment) register(v *emul.Server) {
	d.tokens.Lock()
	delete(d.lapsed, v.ID())
	d.tokens.Unlock()
	d.record.note("store: the entry of %s is written", v.ID())
	d.putGroup()
}

func (d *deployment) closeGroup() {
	for _, l := range d.listeners {
		_ = l.Close()
	}
	d.group.Close()
}
