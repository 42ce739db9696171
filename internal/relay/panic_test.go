package relay

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// panickingOwner locates groups here and panics as they are used. It records the
// answers.
type panickingOwner struct {
	oneProcessEach
	answers chan peer.Answer
}

func (o *panickingOwner) OwnerOf(ident.Group, ...ident.Instance) ident.Instance { return "self" }
func (o *panickingOwner) Local(ident.Group) *GroupPool                          { panic("unexpected state") }

// Offer implements Sender.
func (o *panickingOwner) Offer(_ ident.Instance, m peer.Message) bool {
	o.answers <- m.(peer.Answer)
	return true
}

// Deliver implements Sender.
func (o *panickingOwner) Deliver(to ident.Process, m peer.Message) bool {
	return o.Offer(to.Instance, m)
}

// One call that met an unexpected error ended the owner's process, with the
// calls of all other instances.
func TestPanicInCallIsAnswered(t *testing.T) {
	g := NewWithT(t)
	o := &panickingOwner{answers: make(chan peer.Answer, 2)}
	r := NewRouter(t.Context(), processOf("self"), o)
	r.SetSender(o)
	write := engine.Call{Group: "db", Phase: engine.Single, Statement: engine.Statement{Op: engine.Write}}
	r.ReceiveCall(processOf("other"), peer.Call{Number: 1, Call: write})
	a := <-o.answers
	g.Expect(a.Number).To(BeEquivalentTo(1))
	g.Expect(a.Answer.Outcome).To(Equal(engine.Unknown), "the write may have run")
	g.Expect(r.Close()).To(Succeed())
}
