package oper_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/oper"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	trial = ident.Environment("trial")
	text  = `Environment = "trial"
[[Groups]]
Name = "orders"
Endpoints = [{ Name = "orders-1", Address = "127.0.0.1:7001", DataCentre = "milano-a", Slots = 2, Connections = 16 }]
[[Accounts]]
Name = "shop"
Rate = 100
Burst = 20
`
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func open(t *testing.T) (*plat.Server, *store.Platform) {
	t.Helper()
	s, err := plat.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	p, err := store.Open(s.Platform())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Close()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, p
}

// TestRacedEditsAllStand lets several operators give a key at once, while
// answers of the platform are lost. Every key stands once.
func TestRacedEditsAllStand(t *testing.T) {
	const operators = 6
	g := NewWithT(t)
	s, p := open(t)
	e := &oper.Editor{Documents: p.Documents, Author: "anna"}
	_, err := e.Put(t.Context(), trial, 0, []byte(text), time.Now())
	g.Expect(err).NotTo(HaveOccurred())

	s.SetFaults(plat.Faults{LoseProbability: 0.3})
	var wanted []envdoc.KeyHash
	var edits errgroup.Group
	for i := range operators {
		hash := envdoc.HashKey(fmt.Sprint("key ", i))
		wanted = append(wanted, hash)
		edits.Go(func() error {
			_, err := e.Edit(t.Context(), trial, time.Now(), func(d *envdoc.Document) (*envdoc.Document, error) {
				return d.GiveKey("shop", hash)
			})
			return err
		})
	}
	g.Expect(edits.Wait()).To(Succeed())
	s.SetFaults(plat.Faults{})
	current, err := e.Current(t.Context(), trial)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current.Document.Accounts[0].Keys).To(ConsistOf(wanted))
	g.Expect(current.Head.Version).To(Equal(ident.Version(operators + 1)))
}

// TestUnknownOutcomeIsSettled loses the answers of a whole call, so that only
// a repeat of the same change can settle it.
func TestUnknownOutcomeIsSettled(t *testing.T) {
	const tries = 3
	g := NewWithT(t)
	s, p := open(t)
	s.SetFaults(plat.Faults{LoseNext: tries, LoseOnly: "TransactWriteItems"})
	e := &oper.Editor{Documents: p.Documents, Author: "anna"}
	head, err := e.Put(t.Context(), trial, 0, []byte(text), time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(head.Version).To(Equal(ident.Version(1)))
	g.Expect(s.Counters().Lost).To(BeEquivalentTo(tries))
	g.Expect(p.Documents.History(t.Context(), trial, 9)).To(HaveLen(1))
}

// TestUnannouncedRepeatIsUnknown lets the repeat of a write with an unknown
// outcome fail before it is sent: that says nothing about the first try.
func TestUnannouncedRepeatIsUnknown(t *testing.T) {
	const tries = 3
	g := NewWithT(t)
	s, p := open(t)
	s.SetFaults(plat.Faults{LoseNext: tries, LoseOnly: "TransactWriteItems"})
	announced := 0
	e := &oper.Editor{Documents: p.Documents, Author: "anna"}
	e.Announce = func(context.Context, ident.Environment, ident.Version) error {
		announced++
		if announced > 1 {
			return oper.ErrNotAnnounced
		}
		return nil
	}
	_, err := e.Put(t.Context(), trial, 0, []byte(text), time.Now())
	var unknown *oper.UnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
	g.Expect(err).To(MatchError(oper.ErrNotAnnounced))
	heads, err := p.Documents.History(t.Context(), trial, 9)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(heads).To(HaveLen(1))
	g.Expect(heads[0].Change).To(Equal(unknown.Change))
}

func TestOutageEndsWithTheContext(t *testing.T) {
	g := NewWithT(t)
	s, p := open(t)
	s.SetFaults(plat.Faults{Outage: plat.Silence})
	e := &oper.Editor{Documents: p.Documents, Author: "anna"}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := e.Put(ctx, trial, 0, []byte(text), time.Now())
	var unknown *oper.UnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
	g.Expect(unknown.Change).NotTo(BeEmpty())
	g.Expect(err).To(MatchError(store.ErrUnavailable))
}
