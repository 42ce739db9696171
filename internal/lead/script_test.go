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

// TestScripts runs the scenarios in testdata. Each file holds one failure of a
// primary and the expected commands.
func TestScripts(t *testing.T) {
	assert.Fatal()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &leadScript{elector: New(), now: time.Unix(1000, 0)}
		s.elector.Update(s.now, ReplicationRules{SyncReplicas: 1})
		datadriven.RunTest(t, path, s.command)
	})
}

type leadScript struct {
	elector *Elector
	now     time.Time
	// epochRequests are the times of the unanswered requests for an epoch.
	epochRequests []time.Time
	// recorded are the servers in the group's record in the store, which an earlier
	// owner wrote.
	recorded []ident.Endpoint
	added    []ident.Endpoint // by the latest request for an epoch
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
	scan("number", &epoch)
	position := ident.LogPosition{Term: ident.Term(term), Position: ident.Position(received)}
	switch d.Cmd {
	case "directory":
		m := Directory{}
		for _, a := range d.CmdArgs {
			e := Endpoint{ID: ident.Endpoint(a.Key)}
			for _, v := range a.Vals {
				e.IsPrimary = e.IsPrimary || v == "primary"
				e.Draining = e.Draining || v == "draining"
				e.Evacuated = e.Evacuated || v == "evacuated"
				if v == "restarted" {
					e.StartedAt = 1
				}
			}
			m.Endpoints = append(m.Endpoints, e)
		}
		return s.send(m)
	case "record":
		s.recorded = []ident.Endpoint{}
		for _, a := range d.CmdArgs {
			s.recorded = append(s.recorded, ident.Endpoint(a.Key))
		}
		return ""
	case "recorded":
		m := ServersRecorded{}
		for _, a := range d.CmdArgs {
			m.Servers = append(m.Servers, ident.Endpoint(a.Key))
		}
		return s.send(m)
	case "outdated":
		return s.send(EpochOutdated{Epoch: ident.Epoch(epoch)})
	case "recordlost":
		return s.send(RecordLost{})
	case "owner":
		return s.send(Ownership{Owner: true})
	case "nonowner":
		return s.send(Ownership{})
	case "epoch":
		m := EpochAcquired{Epoch: ident.Epoch(epoch), SentAt: s.now, Recorded: s.recorded, Added: s.added}
		if len(s.epochRequests) > 0 {
			m.SentAt, s.epochRequests = s.epochRequests[0], s.epochRequests[1:]
		}
		return s.send(m)
	case "proof":
		return s.send(PrimaryProof{Endpoint: name(), Term: ident.Term(term)})
	case "commit":
		return s.send(PrimaryProof{Endpoint: name(), Term: ident.Term(term), Wrote: true, Position: position})
	case "uncertain":
		return fmt.Sprintln(s.elector.CommitUncertain(s.now, ident.Term(term)))
	case "noanswer":
		return s.send(EndpointFailure{Endpoint: name(), Kind: Unanswered})
	case "notprimary":
		return s.send(EndpointFailure{Endpoint: name(), Kind: NotPrimary})
	case "lagging":
		return s.send(EndpointFailure{Endpoint: name(), Kind: ReplicasLag})
	case "failing":
		m := EndpointFailure{Endpoint: name(), Kind: FailsCalls}
		for _, a := range d.CmdArgs[1:] {
			m.Unfit = append(m.Unfit, ident.Endpoint(a.Vals[0]))
		}
		return s.send(m)
	case "result":
		return s.send(ProbeResult{
			Endpoint: name(), SentAt: s.now, Failed: d.HasArg("failed"), Refused: d.HasArg("refused"), IsPrimary: d.HasArg("primary"),
			Term: ident.Term(term), Received: position, Sealed: d.HasArg("sealed"), SealedTerm: ident.Term(sealed),
		})
	case "progress":
		return s.send(PeerProgress{From: ident.Instance(d.CmdArgs[0].Key), Term: ident.Term(term), PromotionPending: d.HasArg("pending")})
	case "peerreaches":
		return s.send(PeerOpinion{Endpoint: name(), Reached: true, IsPrimary: true})
	case "promoted":
		results := map[string]PromoteResult{"accepted": Accepted, "refused": Refused, "unanswered": NoAnswer}
		return s.send(Promoted{Endpoint: name(), Result: results[d.CmdArgs[1].Key]})
	case "switchpauses":
		return switchPauses(t, d)
	case "wait":
		s.now = s.now.Add(duration(t, d.CmdArgs[0].Key))
		return s.send(Tick{})
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func joinNames(all []ident.Endpoint) string {
	var names []string
	for _, id := range all {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}

func duration(t *testing.T, text string) time.Duration {
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}

// switchPauses starts switches from a primary that serves badly, each a time after
// the one before, and returns the pause that follows each.
func switchPauses(t *testing.T, d *datadriven.TestData) string {
	var f failingPrimary
	now := time.Unix(1000, 0)
	var out []string
	for _, a := range d.CmdArgs {
		now = now.Add(duration(t, a.Key))
		f.switched(now)
		out = append(out, f.pause.String())
	}
	return strings.Join(out, " ") + "\n"
}

func (s *leadScript) send(m Message) string {
	var out strings.Builder
	for _, c := range s.elector.Update(s.now, m) {
		switch c := c.(type) {
		case Probe:
			fmt.Fprintf(&out, "probe %s\n", c.Endpoint)
		case Seal:
			fmt.Fprintf(&out, "seal %s at %d\n", c.Endpoint, c.Term)
		case AskPeers:
			fmt.Fprintf(&out, "ask peers about %s\n", c.Endpoint)
		case AcquireEpoch:
			s.added = c.Servers
			if s.recorded == nil {
				s.recorded = c.Servers
			}
			s.epochRequests = append(s.epochRequests, s.now)
			fmt.Fprintf(&out, "acquire epoch\n")
		case RecordServers:
			fmt.Fprintf(&out, "record %s\n", joinNames(c.Servers))
		case Promote:
			fmt.Fprintf(&out, "promote %s with epoch %d\n", c.Endpoint, c.Epoch)
		case PrimaryChanged:
			fmt.Fprintf(&out, "primary %s usable=%v writes=%v\n", c.Endpoint, c.Usable, c.Usable && !c.NoWrites)
		case PrimaryUnreachable:
			fmt.Fprintf(&out, "unreachable %v\n", c.Unreachable)
		case BroadcastProgress:
			fmt.Fprintf(&out, "broadcast progress\n")
		case StateChanged:
			fmt.Fprintf(&out, "%s: %s\n", c.State, c.Reason)
		case SwitchPauseChanged:
			fmt.Fprintf(&out, "switch pause %s\n", c.Pause)
		}
	}
	return out.String()
}
