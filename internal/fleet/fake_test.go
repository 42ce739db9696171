package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// platform is a store and a network between the instances of one test.
type platform struct {
	mu      sync.Mutex
	heads   []store.Head
	texts   [][]byte
	rows    map[ident.Instance]store.Member
	noDocs  map[ident.Instance]bool // cut from the documents
	noRows  map[ident.Instance]bool // cut from the member rows
	noPeers map[ident.Instance]bool // cut from the other instances
	fleets  map[ident.Instance]*Fleet
}

func newPlatform() *platform {
	return &platform{
		rows:    make(map[ident.Instance]store.Member),
		noDocs:  make(map[ident.Instance]bool),
		noRows:  make(map[ident.Instance]bool),
		noPeers: make(map[ident.Instance]bool),
		fleets:  make(map[ident.Instance]*Fleet),
	}
}

// change alters the platform between two calls to it.
func (p *platform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *platform) accept(text string) ident.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := ident.Version(len(p.heads) + 1)
	p.heads = append(p.heads, store.Head{Version: v, Digest: digestOf([]byte(text))})
	p.texts = append(p.texts, []byte(text))
	return v
}

func (p *platform) cutStore(names ...ident.Instance) {
	p.change(func() {
		for _, n := range names {
			p.noDocs[n], p.noRows[n] = true, true
		}
	})
}

func (p *platform) mend() {
	p.change(func() {
		clear(p.noDocs)
		clear(p.noRows)
		clear(p.noPeers)
	})
}

// view is the platform as one instance reaches it.
type view struct {
	*platform
	self ident.Instance
}

func (v view) Head(context.Context, ident.Environment) (store.Head, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.noDocs[v.self]:
		return store.Head{}, store.ErrUnavailable
	case len(v.heads) == 0:
		return store.Head{}, store.ErrNotFound
	}
	return v.heads[len(v.heads)-1], nil
}

func (v view) Text(_ context.Context, _ ident.Environment, version ident.Version) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.noDocs[v.self] {
		return nil, store.ErrUnavailable
	}
	return v.texts[version-1], nil
}

func (v view) Accept(context.Context, ident.Environment, ident.Version, store.Head, []byte) (store.Head, error) {
	return store.Head{}, errors.New("fleets accept nothing")
}

func (v view) History(context.Context, ident.Environment, int) ([]store.Head, error) {
	return nil, errors.New("fleets read no history")
}

// rowView is the member table as one instance reaches it.
type rowView struct{ view }

func (v rowView) All(context.Context, ident.Environment) ([]store.Member, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.noRows[v.self] {
		return nil, store.ErrUnavailable
	}
	var all []store.Member
	for _, r := range v.rows {
		all = append(all, r)
	}
	return all, nil
}

func (v rowView) Put(_ context.Context, _ ident.Environment, m store.Member) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.noRows[v.self] {
		return store.ErrUnavailable
	}
	v.rows[m.Instance] = m
	return nil
}

func (v rowView) Delete(_ context.Context, _ ident.Environment, n ident.Instance) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.noRows[v.self] {
		return store.ErrUnavailable
	}
	delete(v.rows, n)
	return nil
}

// wire is a Mesh without sockets.
type wire struct{ view }

func (w wire) SetMembers([]store.Member) {}

func (w wire) Connected() []ident.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []ident.Instance
	for n := range w.fleets {
		if n != w.self && !w.noPeers[n] && !w.noPeers[w.self] {
			names = append(names, n)
		}
	}
	return names
}

func (w wire) Send(to ident.Instance, m peer.Message) {
	w.mu.Lock()
	f := w.fleets[to]
	cut := w.noPeers[to] || w.noPeers[w.self]
	w.mu.Unlock()
	if f != nil && !cut {
		f.Receive(w.self, m, time.Now())
	}
}

func (w wire) Broadcast(m peer.Message) {
	for _, n := range w.Connected() {
		w.Send(n, m)
	}
}

// parseFake refuses texts that begin with a dash.
func parseFake(text []byte) (*envdoc.Document, error) {
	if text[0] == '-' {
		return nil, errors.New("dash")
	}
	return &envdoc.Document{Environment: ident.Environment(text)}, nil
}

// instance is a started Fleet and what it applied.
type instance struct {
	*Fleet
	log *event.Log

	mu      sync.Mutex
	applied []ident.Version
}

// newInstance returns an instance that is not started yet.
func newInstance(p *platform, name ident.Instance, start uint64) *instance {
	v := view{platform: p, self: name}
	i := &instance{log: event.NewLog(name, 1024)}
	ports := Ports{Documents: v, Members: rowView{v}, Mesh: wire{v}, Log: i.log, Parse: parseFake}
	i.Fleet = New(store.Member{Instance: name, Start: start}, "trial", ports)
	i.SetApply(i.take)
	return i
}

func (i *instance) take(a Apply) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applied = append(i.applied, a.Version)
}

func (i *instance) appliedVersions() []ident.Version {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]ident.Version(nil), i.applied...)
}

func (i *instance) records(kind event.Kind) []event.Record {
	all, _ := i.log.Since(0)
	var found []event.Record
	for _, r := range all {
		if r.Kind == kind {
			found = append(found, r)
		}
	}
	return found
}

// join starts an instance on the platform's network without sockets.
func (p *platform) join(name ident.Instance, start uint64) *instance {
	i := newInstance(p, name, start)
	p.change(func() { p.fleets[name] = i.Fleet })
	i.Start()
	return i
}

func (p *platform) leave(i *instance) error {
	err := i.Close()
	p.change(func() { delete(p.fleets, i.self.Instance) })
	return err
}

// joinMesh starts an instance with a real mesh on the loopback interface.
func joinMesh(t *testing.T, p *platform, name ident.Instance) *instance {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	i := newInstance(p, name, 1)
	router := peer.NewRouter()
	mesh, err := peer.NewMesh(peer.Hello{Instance: name, Environment: "trial", Start: 1}, listener, "secret", router, i.log)
	g.Expect(err).NotTo(HaveOccurred())
	i.self.Peer = mesh.Address()
	ports := i.ports
	ports.Mesh = mesh
	i.Fleet = New(i.self, "trial", ports)
	i.SetApply(i.take)
	i.Register(router)
	mesh.Start()
	i.Start()
	t.Cleanup(func() {
		g.Expect(i.Close()).To(Succeed(), fmt.Sprint(name))
		g.Expect(mesh.Close()).To(Succeed(), fmt.Sprint(name))
	})
	return i
}
