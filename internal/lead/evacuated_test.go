package lead

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// The directory is older than the elector's own evidence. A request for an
// evacuation must not make the elector believe the directory again.
func TestEvacuatedKeepsNewerEvidence(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	el := New()
	listed := Directory{Endpoints: []Endpoint{{ID: "a", IsPrimary: true}, {ID: "b"}, {ID: "c"}}}
	el.Update(now, Ownership{Owner: true})
	el.Update(now, listed)
	el.Update(now, PrimaryProof{Endpoint: "b", Term: 2})
	now = now.Add(2 * recoveryGrace)
	el.Update(now, EndpointFailure{Endpoint: "b"})
	g.Expect(el.state).To(Equal(Doubting))
	el.Update(now, Evacuated{Endpoints: []ident.Endpoint{"c"}})
	g.Expect(el.state).To(Equal(Doubting))
	g.Expect(el.primary).To(Equal(ident.Endpoint("b")))
	g.Expect(el.servers["c"].Evacuated).To(BeTrue())
	el.Update(now, Evacuated{})
	g.Expect(el.servers["c"].Evacuated).To(BeFalse())
	el.Update(now, listed)
	g.Expect(el.primary).To(Equal(ident.Endpoint("a")), "a new directory is newer evidence")
}
