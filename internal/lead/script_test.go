package lead

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// TestScripts plays the files of testdata: each is one trouble of a primary and
// what the keeper does about it.
func TestScripts(t *testing.T) {
	assert.Fatal()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &leadScript{keeper: New(), now: time.Unix(1000, 0)}
		s.keeper.Update(s.now, ReplicationRules{SyncReplicas: 1})
		datadriven.RunTest(t, path, s.command)
	})
}

type leadScript struct {
	keeper *Elector
	now    time.Time
}

func (s *leadScript) command(t *testing.T, d *datadriven.TestData) string {
	name := func() ident.Endpoint { return ident.Endpoint(d.CmdArgs[0].Key) }
	var term, received, sealed, epoch int64
	scan := func(key string, to *int64) {
		if d.HasArg(key) {
			d.ScanArgs(t, key, to)
		}
	}
	scan("term", &term)
	scan("received", &received)
	scan("sealed", &sealed)
	scan("epoch", &epoch)
	mark := ident.LogPosition{Term: ident.Term(term), Position: ident.Position(received)}
	switch d.Cmd {
	case "directory":
		m := Directory{}
		for _, a := range d.CmdArgs {
			e := Endpoint{ID: ident.Endpoint(a.Key)}
			for _, v := range a.Vals {
				e.IsPrimary = e.IsPrimary || v == "leads"
				e.Draining = e.Draining || v == "draining"
			}
			m.Endpoints = append(m.Endpoints, e)
		}
		return s.tell(m)
	case "home":
		return s.tell(Ownership{Owner: true})
	case "guest":
		return s.tell(Ownership{})
	case "claimed":
		return s.tell(EpochAcquired{Epoch: ident.Epoch(epoch)})
	case "led":
		return s.tell(PrimaryProof{Endpoint: name(), Term: ident.Term(term)})
	case "wrote":
		return s.tell(PrimaryProof{Endpoint: name(), Term: ident.Term(term), Wrote: true, Position: mark})
	case "silent":
		return s.tell(EndpointFailure{Endpoint: name()})
	case "refuses":
		return s.tell(EndpointFailure{Endpoint: name(), NotPrimary: true})
	case "report":
		return s.tell(ProbeResult{
			Endpoint: name(), Asked: s.now, Failed: d.HasArg("failed"), IsPrimary: d.HasArg("leads"),
			Term: ident.Term(term), Received: mark, SealedTerm: ident.Term(sealed),
		})
	case "news":
		return s.tell(PeerProgress{From: ident.Instance(d.CmdArgs[0].Key), Term: ident.Term(term), PromotionPending: d.HasArg("ordered")})
	case "reached":
		return s.tell(PeerOpinion{Endpoint: name(), Reached: true, IsPrimary: true})
	case "promoted":
		results := map[string]PromoteResult{"accepted": Accepted, "refused": Refused, "unanswered": NoAnswer}
		return s.tell(Promoted{Endpoint: name(), Result: results[d.CmdArgs[1].Key]})
	case "wait":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(span)
		return s.tell(Tick{})
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *leadScript) tell(m Message) string {
	var out strings.Builder
	for _, c := range s.keeper.Update(s.now, m) {
		switch c := c.(type) {
		case Probe:
			fmt.Fprintf(&out, "probe %s\n", c.Endpoint)
		case Seal:
			fmt.Fprintf(&out, "seal %s at %d\n", c.Endpoint, c.Term)
		case AskPeers:
			fmt.Fprintf(&out, "ask others for %s\n", c.Endpoint)
		case AcquireEpoch:
			fmt.Fprintf(&out, "claim\n")
		case Promote:
			fmt.Fprintf(&out, "promote %s with epoch %d\n", c.Endpoint, c.Epoch)
		case PrimaryChanged:
			fmt.Fprintf(&out, "announce %s usable=%v writes=%v\n", c.Endpoint, c.Usable, c.Usable && !c.NoWrites)
		case PrimaryUnreachable:
			fmt.Fprintf(&out, "unfit %v\n", c.Unreachable)
		case BroadcastProgress:
			fmt.Fprintf(&out, "spread\n")
		case StateChanged:
			fmt.Fprintf(&out, "%s: %s\n", c.State, c.Reason)
		}
	}
	return out.String()
}
