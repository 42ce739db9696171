package peer

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// During a rolling update old and new instances talk to each other. A field or a
// message that the recipient does not know must not end the link.
func TestOlderInstancesSkipWhatTheyDoNotKnow(t *testing.T) {
	g := NewWithT(t)
	// An older instance knows the revision as little as this one knows "Later".
	body, err := encoder.Marshal(map[string]any{"Version": 3, "Evacuations": 7, "Later": []string{"z1"}})
	g.Expect(err).NotTo(HaveOccurred())
	m, err := decodeBody(HeartbeatKind, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(Equal(Heartbeat{Version: 3, Evacuations: 7}))

	old, err := encoder.Marshal(map[string]any{"Version": 3})
	g.Expect(err).NotTo(HaveOccurred())
	m, err = decodeBody(HeartbeatKind, old)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.(Heartbeat).Evacuations).To(Equal(ident.Revision(0)))

	_, err = decodeBody(EvacuationListKind+100, body)
	g.Expect(errors.Is(err, ErrUnknownKind)).To(BeTrue())
}

// Without evacuations a heartbeat is the same as that of an older instance.
func TestHeartbeatWithoutEvacuationsIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	with, err := Encode(Heartbeat{Version: 3, Evacuations: 1})
	g.Expect(err).NotTo(HaveOccurred())
	without, err := Encode(Heartbeat{Version: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(with)).To(ContainSubstring("Evacuations"))
	g.Expect(string(without)).NotTo(ContainSubstring("Evacuations"))
}
