package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// fetch is the search for the text of the wanted version.
type fetch struct {
	from  ident.Instance // the peer that told of the version, empty for the store
	tries int
	next  time.Time
}

// fetchDue asks for the wanted text when the question before was not answered
// in time. The one that told of the version is asked first; then the peers
// that have it are asked in turn, and the object store beside them, so that
// one slow or cut-off source does not hold up the version.
func (s *DocumentTracker) fetchDue(now time.Time) []Cmd {
	if s.caughtUp() || now.Before(s.fetch.next) {
		return nil
	}
	s.fetch.next = now.Add(s.bounds.Fetch)
	try := s.fetch.tries
	s.fetch.tries++
	var cmds []Cmd
	if n, ok := s.holder(try); ok {
		cmds = append(cmds, AskText{To: n, Version: s.wanted.version})
	}
	if try > 0 || len(cmds) == 0 {
		cmds = append(cmds, s.readText()...)
	}
	return cmds
}

// readText reads the object store unless enough reads run already.
func (s *DocumentTracker) readText() []Cmd {
	if s.reads == maxReads {
		return nil
	}
	s.reads++
	return []Cmd{ReadText{Version: s.wanted.version}}
}

// holder returns the peer to ask in the given turn: the one that told of the
// wanted version, then the other connected ones that have it in force.
func (s *DocumentTracker) holder(turn int) (ident.Instance, bool) {
	if turn == 0 {
		return s.fetch.from, s.fetch.from != ""
	}
	var holders []ident.Instance
	for _, n := range s.connected {
		if c := s.contacts[n]; c != nil && c.version == s.wanted.version {
			holders = append(holders, n)
		}
	}
	if len(holders) == 0 {
		return "", false
	}
	first := slices.Index(holders, s.fetch.from) // -1 starts at 0 in turn 1
	return holders[(first+turn)%len(holders)], true
}

func (s *DocumentTracker) textAsked(m TextAsked) []Cmd {
	if m.Version == 0 || m.Version != s.current.version {
		return nil
	}
	return []Cmd{GiveText{To: m.From, Version: m.Version, Text: s.text}}
}

func (s *DocumentTracker) textGiven(m TextGiven, now time.Time) []Cmd {
	if m.From == "" {
		s.reads--
	}
	if m.Version != s.wanted.version || s.caughtUp() {
		return nil
	}
	if m.Err != nil {
		return nil // the next source is asked when its time has come
	}
	if digestOf(m.Text) != s.wanted.digest && s.off&digesting == 0 {
		return []Cmd{Record{Kind: DocumentRefused, After: DocumentSeen, Peer: m.From, Note: noteOf(s.wanted) + ": digest differs"}}
	}
	document, err := s.parse(m.Text)
	if err != nil {
		s.refused = s.wanted.version
		s.proof = s.proof.later(s.wantedProof)
		return []Cmd{Record{Kind: DocumentRefused, After: DocumentSeen, Peer: m.From, Note: noteOf(s.wanted) + ": " + err.Error()}}
	}
	assert.That(s.wanted.version > s.current.version, "FleetVersionRises",
		"version %d after %d", s.wanted.version, s.current.version)
	s.current = s.wanted
	s.text = m.Text
	s.proof = s.proof.later(s.wantedProof)
	cmds := []Cmd{
		Apply{Version: s.current.version, Change: s.current.change, Document: document},
		Record{Kind: DocumentApplied, After: DocumentSeen, Note: noteOf(s.current)},
	}
	return append(cmds, s.beat(now)...)
}

func digestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func noteOf(t target) string { return fmt.Sprintf("version %d, change %s", t.version, t.change) }
