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

// platform simulates the store and the network of the instances in one test.
type platform struct {
	mu           sync.Mutex
	heads        []store.Head
	texts        [][]byte
	rows         map[ident.Instance]store.Member
	documentsCut map[ident.Instance]bool // cannot reach the documents
	rowsCut      map[ident.Instance]bool // cannot reach the member rows
	peersCut     map[ident.Instance]bool // cannot reach other instances
	fleets       map[ident.Instance]*Fleet
}

func newPlatform() *platform {
	return &platform{
		rows:         make(map[ident.Instance]store.Member),
		documentsCut: make(map[ident.Instance]bool),
		rowsCut:      make(map[ident.Instance]bool),
		peersCut:     make(map[ident.Instance]bool),
		fleets:       make(map[ident.Instance]*Fleet),
	}
}

// locked runs f while no other call changes the platform.
func (p *platform) locked(f func()) {
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
	p.locked(func() {
		for _, n := range names {
			p.documentsCut[n], p.rowsCut[n] = true, true
		}
	})
}

func (p *platform) restore() {
	p.locked(func() {
		clear(p.documentsCut)
		clear(p.rowsCut)
		clear(p.peersCut)
	})
}

// storeView is the platform as seen by one instance. It implements
// store.Documents.
type storeView struct {
	*platform
	self ident.Instance
}

func (v storeView) Head(context.Context, ident.Environment) (store.Head, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.documentsCut[v.self]:
		return store.Head{}, store.ErrUnavailable
	case len(v.heads) == 0:
		return store.Head{}, store.ErrNotFound
	}
	return v.heads[len(v.heads)-1], nil
}

func (v storeView) Text(_ context.Context, _ ident.Environment, version ident.Version) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.documentsCut[v.self] {
		return nil, store.ErrUnavailable
	}
	return v.texts[version-1], nil
}

func (v storeView) Accept(context.Context, ident.Environment, ident.Version, store.Head, []byte) (store.Head, error) {
	return store.Head{}, errors.New("instances accept no documents")
}

func (v storeView) History(context.Context, ident.Environment, int) ([]store.Head, error) {
	return nil, errors.New("instances read no history")
}

// memberView is the member table as seen by one instance.
type memberView struct{ storeView }

func (v memberView) All(context.Context, ident.Environment) ([]store.Member, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rowsCut[v.self] {
		return nil, store.ErrUnavailable
	}
	var all []store.Member
	for _, r := range v.rows {
		all = append(all, r)
	}
	return all, nil
}

func (v memberView) Put(_ context.Context, _ ident.Environment, m store.Member) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rowsCut[v.self] {
		return store.ErrUnavailable
	}
	v.rows[m.Instance] = m
	return nil
}

func (v memberView) Delete(_ context.Context, _ ident.Environment, n ident.Instance) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rowsCut[v.self] {
		return store.ErrUnavailable
	}
	delete(v.rows, n)
	return nil
}

// fakeMesh is a Mesh without sockets.
type fakeMesh struct{ storeView }

func (w fakeMesh) SetMembers([]store.Member) {}

func (w fakeMesh) Connected() []ident.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []ident.Instance
	for n := range w.fleets {
		if n != w.self && !w.peersCut[n] && !w.peersCut[w.self] {
			names = append(names, n)
		}
	}
	return names
}

func (w fakeMesh) Send(to ident.Instance, m peer.Message) {
	w.mu.Lock()
	f := w.fleets[to]
	cut := w.peersCut[to] || w.peersCut[w.self]
	w.mu.Unlock()
	if f != nil && !cut {
		f.Receive(ident.Process{Instance: w.self}, m, time.Now())
	}
}

func (w fakeMesh) Broadcast(m peer.Message) {
	for _, n := range w.Connected() {
		w.Send(n, m)
	}
}

// parseFake rejects texts that begin with a dash.
func parseFake(text []byte) (*envdoc.Document, error) {
	if text[0] == '-' {
		return nil, errors.New("dash")
	}
	return &envdoc.Document{Environment: ident.Environment(text)}, nil
}

// instance is a started Fleet with a record of the versions that it applied.
type instance struct {
	*Fleet
	log *event.Log

	mu      sync.Mutex
	applied []ident.Version
}

// newInstance returns an instance that has not been started.
func newInstance(p *platform, name ident.Instance, start uint64) *instance {
	v := storeView{platform: p, self: name}
	i := &instance{log: event.NewLog(name, 1024)}
	deps := Dependencies{Documents: v, Members: memberView{v}, Mesh: fakeMesh{v}, Log: i.log, Parse: parseFake}
	i.Fleet = New(store.Member{Instance: name, Start: start}, "trial", deps)
	i.SetApply(i.recordApplied)
	return i
}

func (i *instance) recordApplied(a Apply) {
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

// join starts an instance that uses the platform's network instead of sockets.
func (p *platform) join(name ident.Instance, start uint64) *instance {
	i := newInstance(p, name, start)
	p.locked(func() { p.fleets[name] = i.Fleet })
	i.Start()
	return i
}

func (p *platform) leave(i *instance) error {
	err := i.Close()
	p.locked(func() { delete(p.fleets, i.self.Instance) })
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
	deps := i.deps
	deps.Mesh = mesh
	i.Fleet = New(i.self, "trial", deps)
	i.SetApply(i.recordApplied)
	i.Register(router)
	mesh.Start()
	i.Start()
	t.Cleanup(func() {
		g.Expect(i.Close()).To(Succeed(), fmt.Sprint(name))
		g.Expect(mesh.Close()).To(Succeed(), fmt.Sprint(name))
	})
	return i
}
