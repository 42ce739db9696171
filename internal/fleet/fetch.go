package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

// fetchDue asks the next source when the one before it did not answer in time:
// the one that told of the version, then the object store and the peers that
// have the version, in turn.
func (s *Spread) fetchDue(now time.Time) []Cmd {
	if s.caughtUp() || now.Before(s.fetch.next) {
		return nil
	}
	s.fetch.next = now.Add(s.bounds.Fetch)
	try := s.fetch.tries
	s.fetch.tries++
	if try == 0 && s.fetch.from != "" {
		return []Cmd{AskText{To: s.fetch.from, Version: s.wanted.version}}
	}
	if n, ok := s.holder(try / 2); ok && try%2 == 0 {
		return []Cmd{AskText{To: n, Version: s.wanted.version}}
	}
	return []Cmd{ReadText{Version: s.wanted.version}}
}

// holder returns a connected peer that has the wanted version in force.
func (s *Spread) holder(turn int) (ident.Instance, bool) {
	var holders []ident.Instance
	for _, n := range s.connected {
		if c := s.contacts[n]; c != nil && c.version == s.wanted.version {
			holders = append(holders, n)
		}
	}
	if len(holders) == 0 {
		return "", false
	}
	return holders[turn%len(holders)], true
}

func (s *Spread) textAsked(m TextAsked) []Cmd {
	if m.Version == 0 || m.Version != s.current.version {
		return nil
	}
	return []Cmd{GiveText{To: m.From, Version: m.Version, Text: s.text}}
}

func (s *Spread) textGiven(m TextGiven, now time.Time) []Cmd {
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
