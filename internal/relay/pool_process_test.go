package relay

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// A process names a transaction that another process has opened, for example because
// both count from one. It must neither run a statement in it nor roll it back.
func TestTransactionServesItsProcessOnly(t *testing.T) {
	g := NewWithT(t)
	p := NewGroupPool(t.Context(), "orders", nil, func(sched.Message) {})
	c := newEndpointConn(1, "a", &sentConn{})
	p.conns[1], p.txs[1] = c, &openTx{conn: c, origin: processOf("one")}
	for _, other := range []ident.Process{processOf("two"), {Instance: "one", Incarnation: 2}} {
		a, _ := p.Run(context.Background(), other, &engine.Call{Group: "orders", Phase: engine.Next, Tx: 1, Timeout: time.Second})
		g.Expect(a.Outcome).To(Equal(engine.NotRun))
		_, _ = p.Run(context.Background(), other, &engine.Call{Group: "orders", Phase: engine.End, Tx: 1})
		p.RollbackAll(other)
		g.Expect(p.OpenTransactions()).To(Equal(1))
	}
	p.mu.Lock()
	delete(p.txs, 1)
	p.mu.Unlock()
	g.Expect(p.Close()).To(Succeed())
}
