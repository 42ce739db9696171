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

// fetch is the state of fetching the text of the latest version.
type fetch struct {
	source      ident.Instance // the peer that reported the version, empty for the store
	attempts    int
	nextAttempt time.Time
}

// fetchDue requests the text of the latest version when the previous request
// was not answered in time. The first request goes to the peer that reported
// the version, later ones in turn to the peers that have it and in parallel to
// the object store. One slow or isolated source therefore does not delay the
// version.
func (t *DocumentTracker) fetchDue(now time.Time) []Cmd {
	if t.caughtUp() || now.Before(t.fetch.nextAttempt) {
		return nil
	}
	t.fetch.nextAttempt = now.Add(t.bounds.Fetch)
	attempt := t.fetch.attempts
	t.fetch.attempts++
	var cmds []Cmd
	if n, ok := t.fetchSource(attempt); ok {
		cmds = append(cmds, RequestText{To: n, Version: t.latest.version})
	}
	if attempt > 0 || len(cmds) == 0 {
		cmds = append(cmds, t.readText()...)
	}
	return cmds
}

// readText reads the object store unless maxConcurrentReads are running.
func (t *DocumentTracker) readText() []Cmd {
	if t.textReads == maxConcurrentReads {
		return nil
	}
	t.textReads++
	return []Cmd{ReadText{Version: t.latest.version}}
}

// fetchSource returns the peer from which the given attempt requests the text:
// first the one that reported the latest version, then the other connected
// peers that have it in force.
func (t *DocumentTracker) fetchSource(attempt int) (ident.Instance, bool) {
	if attempt == 0 {
		return t.fetch.source, t.fetch.source != ""
	}
	var holders []ident.Instance
	for _, n := range t.connected {
		if c := t.contacts[n]; c != nil && c.version == t.latest.version {
			holders = append(holders, n)
		}
	}
	if len(holders) == 0 {
		return "", false
	}
	first := slices.Index(holders, t.fetch.source) // -1 makes attempt 1 start at index 0
	return holders[(first+attempt)%len(holders)], true
}

func (t *DocumentTracker) handleTextRequested(m TextRequested) []Cmd {
	if m.Version == 0 || m.Version != t.current.version {
		return nil
	}
	return []Cmd{SendText{To: m.From, Version: m.Version, Text: t.text}}
}

func (t *DocumentTracker) handleTextReceived(m TextReceived, now time.Time) []Cmd {
	if m.From == "" {
		t.textReads--
	}
	if m.Version != t.latest.version || t.caughtUp() {
		return nil
	}
	if m.Err != nil {
		return nil // the next source is tried when it is due
	}
	if digestOf(m.Text) != t.latest.digest && t.disabled&verifyDigest == 0 {
		return []Cmd{Record{Kind: DocumentRefused, CauseKind: DocumentSeen, Peer: m.From, Note: documentNote(t.latest) + ": digest differs"}}
	}
	document, err := t.parse(m.Text)
	if err != nil {
		t.refused = t.latest.version
		t.currentProof = t.currentProof.newer(t.latestProof)
		return []Cmd{Record{Kind: DocumentRefused, CauseKind: DocumentSeen, Peer: m.From, Note: documentNote(t.latest) + ": " + err.Error()}}
	}
	assert.That(t.latest.version > t.current.version, "FleetVersionRises",
		"version %d after %d", t.latest.version, t.current.version)
	t.current = t.latest
	t.text = m.Text
	t.currentProof = t.currentProof.newer(t.latestProof)
	cmds := []Cmd{
		Apply{Version: t.current.version, Change: t.current.change, Document: document},
		Record{Kind: DocumentApplied, CauseKind: DocumentSeen, Note: documentNote(t.current)},
	}
	return append(cmds, t.sendHeads(now)...)
}

func digestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func documentNote(document acceptedDocument) string {
	return fmt.Sprintf("version %d, change %s", document.version, document.change)
}
