package peer

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func samples() []Message {
	stamp := event.Stamp{Wall: 7, Logical: 3}
	return []Message{
		Hello{Instance: "a", Environment: "trial", Protocol: 1, Start: 4, Stamp: stamp},
		Head{Version: 3, EvidenceAge: time.Second, Known: true, Stamp: stamp},
		DocumentRequest{Version: 3},
		DirectoryRequest{Revision: 3},
		Directory{Revision: 4, Listings: []sched.DirectoryEntry{{Group: "orders", Endpoint: sched.Endpoint{ID: "a", Slots: 2, StartedAt: 7}}}},
		Document{Version: 3, Text: []byte("Environment = 'trial'")},
		LeaseRequest{Nonce: 7, Leases: []LeaseRef{{Account: "shop", Part: 17, Epoch: 2}}},
		LeasePromise{Nonce: 7, Length: time.Second},
		GroupState{Group: "orders", Term: 9, Primary: "p", Stamp: stamp, Cause: event.Ref{Instance: "a", Sequence: 2}},
		TokenRequest{Account: "acme", Count: 5, Nonce: 8},
		TokenLoan{Account: "acme", Part: 2, Count: 5, EndsIn: time.Second, Nonce: 8},
		Leaving{},
		Last{},
		CallWithdrawn{Number: 9},
		EvacuationRequest{Revision: 3},
		EvacuationList{Revision: 4, DataCentres: []ident.DataCentre{"z1", "z2"}},
		Heartbeat{Version: 2, Evacuations: 4, Returned: []DataCentreReturn{{DataCentre: "z1", Age: time.Second}}},
		LeaseRequest{Nonce: 8, Leases: leaseRefs()},
		LeasePromise{Nonce: 8, Length: time.Second},
		Part{Rest: 5, Bytes: []byte("part")},
		PartReceived{},
	}
}

// leaseRefs returns as many leases as the only instance of a deployment with
// 100 accounts holds.
func leaseRefs() []LeaseRef {
	var out []LeaseRef
	for n := range 800 {
		out = append(out, LeaseRef{Account: "account-of-usual-length", Part: ident.Part(n % 8), Epoch: 1000})
	}
	return out
}

func TestCodecRoundTrip(t *testing.T) {
	g := NewWithT(t)
	for _, m := range samples() {
		frame, err := Encode(m)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := Decode(frame)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(m))
	}
}

// A list of more than 4,096 elements could be sent, but closed the link at its
// receiver, and the first heartbeat of a fleet with many groups could not be sent.
func TestLongListsAreDecoded(t *testing.T) {
	var directory Directory
	var members MemberList
	var heartbeat Heartbeat
	for i := range 6000 {
		directory.Listings = append(directory.Listings, sched.DirectoryEntry{Group: "orders", Endpoint: sched.Endpoint{ID: ident.Endpoint(fmt.Sprint(i))}})
		members.Members = append(members.Members, Member{Instance: ident.Instance(fmt.Sprint("instance-", i)), Address: "10.1.2.3:7560"})
		heartbeat.Groups = append(heartbeat.Groups, GroupProgress{Group: ident.Group(fmt.Sprint("group-", i)), Term: 7})
	}
	for _, m := range []Message{directory, members, heartbeat} {
		g := NewWithT(t)
		encoded, err := Encode(m)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := Decode(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(KindOf(got)).To(Equal(KindOf(m)))
	}
}

func TestCodecRefusals(t *testing.T) {
	g := NewWithT(t)
	unknown, err := encoder.Marshal(envelope{Version: 2, Kind: 99, Body: []byte{0xa0}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(unknown)
	g.Expect(errors.Is(err, ErrUnknownKind)).To(BeTrue())

	_, err = Encode(Document{Version: 1, Text: make([]byte, MaxFrame)})
	g.Expect(errors.Is(err, ErrTooLarge)).To(BeTrue())
	_, err = Encode(Hello{Instance: ident.Instance(bytes.Repeat([]byte("x"), maxSmallFrame))})
	g.Expect(errors.Is(err, ErrTooLarge)).To(BeTrue())

	for _, bad := range [][]byte{nil, {0xff}, {0x83, 1, 2}, {0x83, 0, 2, 0xa0}, {0x9f, 1, 2, 0xa0, 0xff}} {
		_, err = Decode(bad)
		g.Expect(errors.Is(err, ErrMalformed)).To(BeTrue(), "%x", bad)
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		frame, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := Decode(frame)
		if err != nil {
			if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrUnknownKind) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		again, err := Encode(m)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		if err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
		back, err := Decode(again)
		if err != nil || KindOf(back) != KindOf(m) {
			t.Fatalf("second decoding differs: %v", err)
		}
	})
}

// A row of a server that is not UTF-8 must cross the link unchanged. It closed the link,
// with the calls of all sessions on it.
func TestTextThatIsNotUTF8CrossesUnchanged(t *testing.T) {
	g := NewWithT(t)
	sent := Answer{Number: 1, Answer: engine.Answer{Outcome: engine.Answered, Rows: []string{"\xff\xfe", "plain"}, Signature: "r\xc3"}}
	raw, err := Encode(sent)
	g.Expect(err).NotTo(HaveOccurred())
	received, err := Decode(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(sent))
}
