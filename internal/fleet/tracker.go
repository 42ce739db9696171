package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Parser parses and validates the text of a document.
type Parser func(text []byte) (*envdoc.Document, error)

// safeguard is a set of safety rules of DocumentTracker that tests can disable
// to show that they are needed.
type safeguard uint

const (
	risingVersions    safeguard = 1 << iota // a lower version is never applied
	roundTripEvidence                       // a peer's evidence counts from when the head it echoes was sent
	evidenceExpiry                          // trust ends when the evidence is too old
	announceWrites                          // a write is announced first
	settleAfterStart                        // a process counts towards a majority only once settled
	pushHeads                               // peers send heads to each other
	verifyDigest                            // a text must have the digest of the head
)

// maxConcurrentReads is the maximum number of concurrent reads of one kind.
const maxConcurrentReads = 3

// acceptedDocument identifies one accepted document.
type acceptedDocument struct {
	version ident.Version
	change  ident.Change
	digest  string
}

// DocumentTracker decides which environment document is in force on one
// instance and whether the instance may still honour its keys. It is not safe
// for concurrent use.
type DocumentTracker struct {
	self     ident.Instance
	start    uint64
	parse    Parser
	bounds   Bounds
	random   *rand.Rand
	disabled safeguard

	started    time.Time
	lastUpdate time.Time

	current      acceptedDocument
	text         []byte
	currentProof evidence         // for current
	latest       acceptedDocument // the highest version known
	latestProof  evidence         // for latest
	refused      ident.Version    // the latest version that this build could not parse
	announced    announcement     // the latest one
	settled      bool             // knows every announcement that may still lead to a write
	trusted      bool             // as of the latest recordTrust

	known            []ident.Instance // all instances, including this one and dead ones
	connected        []ident.Instance
	contacts         map[ident.Instance]*contact
	pendingAnnounces []pendingAnnounce
	fetch            fetch
	textReads        int // reads of the object store in flight

	headReads     int // reads of the head in flight
	nextPoll      time.Time
	nextHeartbeat time.Time
}

// NewDocumentTracker returns the tracker of the instance self, whose process
// started at now. start distinguishes the process from earlier ones of the
// instance and must not be zero. Equal seeds and inputs give equal outputs.
func NewDocumentTracker(self ident.Instance, start uint64, parse Parser, bounds Bounds, seed uint64, now time.Time) *DocumentTracker {
	assert.That(start != 0, "FleetStartIsSet", "start of %s is zero", self)
	return &DocumentTracker{
		self:       self,
		start:      start,
		parse:      parse,
		bounds:     bounds,
		random:     rand.New(rand.NewPCG(seed, start)),
		started:    now,
		lastUpdate: now,
		contacts:   make(map[ident.Instance]*contact),
	}
}

// Version returns the version in force, 0 before the first.
func (t *DocumentTracker) Version() ident.Version { return t.current.version }

// Update handles one input and returns the commands to execute.
func (t *DocumentTracker) Update(msg Msg, now time.Time) []Cmd {
	t.lastUpdate = now
	var cmds []Cmd
	switch m := msg.(type) {
	case Tick:
		cmds = t.tick(m, now)
	case HeadRead:
		cmds = t.handleHeadRead(m, now)
	case HeadReceived:
		cmds = t.handleHeadReceived(m, now)
	case TextReceived:
		cmds = t.handleTextReceived(m, now)
	case TextRequested:
		cmds = t.handleTextRequested(m)
	case KnownChanged:
		t.setKnown(m.Instances)
	case Announce:
		cmds = t.handleAnnounce(m, now)
	case Poll:
		t.nextPoll = now
		cmds = t.pollDue(now)
	}
	cmds = append(cmds, t.completeAnnounces(now)...)
	return append(cmds, t.recordTrust(now)...)
}

func (t *DocumentTracker) tick(m Tick, now time.Time) []Cmd {
	t.connected = m.Connected
	cmds := t.pollDue(now)
	if !now.Before(t.nextHeartbeat) {
		cmds = append(cmds, t.sendHeads(now)...)
	}
	return append(cmds, t.fetchDue(now)...)
}

// pollDue starts a read of the store's head when one is due. Reads may overlap,
// so that one whose reply is lost or late does not delay the next.
func (t *DocumentTracker) pollDue(now time.Time) []Cmd {
	if t.headReads == maxConcurrentReads || now.Before(t.nextPoll) {
		return nil
	}
	t.headReads++
	t.nextPoll = now.Add(t.jitter(t.bounds.Overlap))
	return []Cmd{ReadHead{}}
}

func (t *DocumentTracker) handleHeadRead(m HeadRead, now time.Time) []Cmd {
	t.headReads--
	if errors.Is(m.Err, store.ErrNotFound) {
		m.Head, m.Err = store.Head{}, nil // no document has been written yet
	}
	if m.Err != nil {
		if next := now.Add(t.jitter(t.bounds.Retry)); next.Before(t.nextPoll) {
			t.nextPoll = next
		}
		return nil
	}
	t.nextPoll = m.StartedAt.Add(t.jitter(t.bounds.Poll))
	document := acceptedDocument{version: m.Head.Version, change: m.Head.Change, digest: m.Head.Digest}
	cmds := t.observeVersion(document, Record{Kind: DocumentSeen, Note: documentNote(document)}, now)
	t.addProof(document.version, m.StartedAt)
	return cmds
}

func (t *DocumentTracker) handleHeadReceived(m HeadReceived, now time.Time) []Cmd {
	c := t.contactOf(m.From)
	composedAfter, proved := c.receive(m.Head, t.start)
	if t.disabled&roundTripEvidence != 0 {
		composedAfter, proved = now, true
		c.aliveAt, c.settled, c.announced = now, m.Head.Settled, m.Head.Announced
	}
	var cmds []Cmd
	if m.Head.Announced > 0 && t.observeAnnouncement(m.Head.Announced, now.Add(-m.Head.AnnouncedAge)) {
		t.nextPoll = now
		cmds = append(cmds, t.sendHeads(now)...)
	}
	document := acceptedDocument{version: m.Head.Version, change: m.Head.Change, digest: m.Head.Digest}
	seen := Record{Kind: DocumentSeen, Peer: m.From, Cause: m.Head.Cause, Note: documentNote(document)}
	cmds = append(cmds, t.observeVersion(document, seen, now)...)
	if proved && m.Head.Known {
		t.addProof(document.version, composedAfter.Add(-max(0, m.Head.EvidenceAge)))
	}
	return cmds
}

// observeVersion processes the report of an accepted version. If it is later
// than all known ones, it emits the record seen and starts to fetch the text.
// seen.Peer is the peer that has the version in force, or empty if the store
// reported it.
func (t *DocumentTracker) observeVersion(document acceptedDocument, seen Record, now time.Time) []Cmd {
	if document.version <= t.latest.version && (t.disabled&risingVersions == 0 || document.version == t.latest.version || document.version == 0) {
		return nil
	}
	// latestProof stays valid: a proof that no version later than an earlier
	// one existed also proves that none later than document did.
	t.latest = document
	t.fetch = fetch{source: seen.Peer}
	return append([]Cmd{seen}, t.fetchDue(now)...)
}

// sendHeads sends a head to each connected peer.
func (t *DocumentTracker) sendHeads(now time.Time) []Cmd {
	t.nextHeartbeat = now.Add(t.bounds.Heartbeat)
	if t.disabled&pushHeads != 0 {
		return nil
	}
	cmds := make([]Cmd, 0, len(t.connected))
	for _, n := range t.connected {
		cmds = append(cmds, SendHead{To: n, Head: t.head(t.contactOf(n), now)})
	}
	return cmds
}

// head returns the next head to send to the peer of c.
func (t *DocumentTracker) head(c *contact, now time.Time) peer.Head {
	isLatest := t.current.version == t.latest.version
	h := peer.Head{
		Version:   t.current.version,
		Change:    t.current.change,
		Digest:    t.current.digest,
		Known:     t.currentProof.known && isLatest,
		Announced: t.announced.version,
		Settled:   t.isSettled() && isLatest,
		Sequence:  c.next(now),
		Echo:      c.received,
		Start:     t.start,
		EchoStart: c.peerStart,
	}
	if h.Known {
		h.EvidenceAge = now.Sub(t.currentProof.at)
	}
	if h.Announced > 0 {
		h.AnnouncedAge = now.Sub(t.announced.at)
	}
	return h
}

// recordTrust records when trust ends and when it is regained.
func (t *DocumentTracker) recordTrust(now time.Time) []Cmd {
	trusted := now.Before(t.TrustedUntil())
	if trusted == t.trusted {
		return nil
	}
	t.trusted = trusted
	if trusted {
		return []Cmd{Record{Kind: EvidenceRegained, CauseKind: EvidenceLost}}
	}
	return []Cmd{Record{Kind: EvidenceLost}}
}

// setKnown replaces the known instances and drops the contacts of instances
// that are neither known nor connected.
func (t *DocumentTracker) setKnown(instances []ident.Instance) {
	t.known = instances
	for n := range t.contacts {
		if !slices.Contains(instances, n) && !slices.Contains(t.connected, n) {
			delete(t.contacts, n)
		}
	}
}

func (t *DocumentTracker) contactOf(n ident.Instance) *contact {
	c := t.contacts[n]
	if c == nil {
		c = &contact{}
		t.contacts[n] = c
	}
	return c
}

// jitter returns a random duration within a fifth of d on either side.
func (t *DocumentTracker) jitter(d time.Duration) time.Duration {
	const fifth = 5
	return d - d/fifth + time.Duration(t.random.Int64N(int64(2*d/fifth)+1))
}

// Versions returns the version in force on each known instance, in order: this
// instance's own, and what the others last reported.
func (t *DocumentTracker) Versions() []InstanceVersion {
	all := make([]InstanceVersion, 0, len(t.known))
	for _, n := range t.known {
		v := InstanceVersion{Instance: n}
		if c := t.contacts[n]; c != nil {
			v.Version = c.version
			v.Connected = t.lastUpdate.Sub(c.aliveAt) < t.bounds.Contact
		}
		if n == t.self {
			v.Version, v.Connected = t.current.version, true
		}
		all = append(all, v)
	}
	return all
}
