package acct

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// mesh connects keepers without loss or delay.
type mesh map[ident.Instance]*Runner

type meshSender struct {
	mesh mesh
	from ident.Instance
}

func (s meshSender) Send(to ident.Instance, m peer.Message) {
	if k := s.mesh[to]; k != nil {
		k.Receive(s.from, m, time.Now())
	}
}

func startMesh(n int, table *fakeTable, rate, burst ident.Tokens) mesh {
	m := make(mesh)
	var live []ident.Instance
	for i := range n {
		live = append(live, ident.Instance(fmt.Sprintf("entry-%d", i)))
	}
	for i, id := range live {
		m[id] = NewRunner(id, "trial", table, meshSender{m, id}, nil, WithSeed(uint64(i+1)))
		m[id].SetDocument(testDocument(rate, burst), 1)
		m[id].SetPeers(live)
	}
	for _, k := range m {
		k.Start(context.Background())
	}
	return m
}

func (m mesh) close(g *WithT) {
	for _, k := range m {
		g.Expect(k.Close()).To(Succeed())
	}
}

// level returns how many of the buyers' tokens all instances have together.
func (m mesh) level() int64 {
	n := int64(0)
	for _, k := range m {
		l := k.Admission().limiter
		n += l.of(buyers).supply.Load().level(l.at(time.Now()))
	}
	return n
}

func TestKeepersHoldTheWholeQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		m := startMesh(4, table, 80, 40)
		defer m.close(g)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		g.Expect(m.level()).To(Equal(int64(40)))
	})
}

func TestCloseReleasesLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		m := startMesh(4, table, 80, 40)
		time.Sleep(20 * time.Second)
		m.close(g)
		g.Expect(table.rows).NotTo(BeEmpty())
		for _, r := range table.rows {
			g.Expect(r.Holder).To(BeEmpty())
		}
	})
}

func TestSpendWaitBorrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(4, newFakeTable(), 80, 40)
		defer m.close(g)
		badge, err := m["entry-0"].Admission().Login(testRoute, buyers, testKey, time.Now())
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Second)
		n := 0
		for range 60 {
			if m["entry-0"].Admission().SpendWait(context.Background(), &badge, time.Now()) == nil {
				n++
			}
		}
		g.Expect(n).To(BeNumerically(">=", 36))
	})
}

// holders counts the rows by holder.
func (t *fakeTable) holders() map[ident.Instance]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[ident.Instance]int)
	for _, r := range t.rows {
		held[r.Holder]++
	}
	return held
}

func TestCrashedHolderIsReplacedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		m := startMesh(4, table, 80, 64)
		time.Sleep(20 * time.Second)
		dead := m["entry-2"]
		alive := maps.Clone(m)
		delete(alive, "entry-2")
		g.Expect(table.holders()["entry-2"]).To(BeNumerically(">", 0))
		g.Expect(dead.group.Close()).To(Succeed()) // no graceful stop
		defer alive.close(g)
		for _, k := range alive {
			k.SetPeers(slices.Collect(maps.Keys(alive)))
		}
		time.Sleep(3 * DefaultPromise)
		g.Expect(table.holders()["entry-2"]).To(BeZero())
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(alive.level()).To(Equal(int64(64)))
	})
}

func TestQuotaOutlivesStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		m := startMesh(3, table, 80, 64)
		defer m.close(g)
		time.Sleep(20 * time.Second)
		table.setDown(true)
		defer table.setDown(false)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		g.Expect(m.level()).To(Equal(int64(64)))
		time.Sleep(3 * time.Minute)
		g.Expect(m.level()).To(BeZero(), "every lease has lapsed")
	})
}

func TestCloseIsBoundedWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		m := startMesh(2, table, 80, 64)
		time.Sleep(20 * time.Second)
		table.setDown(true)
		start := time.Now()
		m.close(g)
		g.Expect(time.Since(start)).To(BeNumerically("<=", 2*(closeTimeout+storeTimeout)))
	})
}
