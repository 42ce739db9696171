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

// Parser reads and checks the text of a document.
type Parser func(text []byte) (*envdoc.Document, error)

// mechanism names one safeguard of DocumentTracker, so that tests can show what
// it is good for.
type mechanism uint

const (
	forwardOnly   mechanism = 1 << iota // a lower version is never applied
	roundTrip                           // evidence counts from before the ask
	evidenceBound                       // old evidence ends trust
	announcing                          // a write is announced first
	settling                            // a new process does not vouch at once
	pushing                             // peers tell each other
	digesting                           // a text must have the head's digest
)

// maxReads bounds the reads of one kind that run at a time.
const maxReads = 3

// target names one accepted document.
type target struct {
	version ident.Version
	change  ident.Change
	digest  string
}

// DocumentTracker decides which environment document is in force on one
// instance and whether the instance may still honour keys by it. It is not safe
// for concurrent use.
type DocumentTracker struct {
	self   ident.Instance
	start  uint64
	parse  Parser
	bounds Bounds
	random *rand.Rand
	off    mechanism

	started time.Time
	last    time.Time // of the latest Update

	current     target
	text        []byte
	proof       evidence // for current
	wanted      target   // the highest version known
	wantedProof evidence // for wanted
	refused     ident.Version
	announced   announcement
	settled     bool
	trusted     bool

	known     []ident.Instance
	connected []ident.Instance
	contacts  map[ident.Instance]*contact
	asks      []ask
	fetch     fetch
	reads     int // reads of the object store that run

	polls    int // reads of the head that run
	nextPoll time.Time
	nextBeat time.Time
}

// NewDocumentTracker returns the decider of the instance self, whose process
// began at now and is told from its earlier ones by start. Equal seeds and
// inputs give equal outputs.
func NewDocumentTracker(self ident.Instance, start uint64, parse Parser, bounds Bounds, seed uint64, now time.Time) *DocumentTracker {
	assert.That(start != 0, "FleetStartIsSet", "start of %s is zero", self)
	return &DocumentTracker{
		self:     self,
		start:    start,
		parse:    parse,
		bounds:   bounds,
		random:   rand.New(rand.NewPCG(seed, start)),
		started:  now,
		last:     now,
		contacts: make(map[ident.Instance]*contact),
	}
}

// Version returns the version in force, 0 before the first.
func (s *DocumentTracker) Version() ident.Version { return s.current.version }

// Update takes one input and returns what to do.
func (s *DocumentTracker) Update(msg Msg, now time.Time) []Cmd {
	s.last = now
	var cmds []Cmd
	switch m := msg.(type) {
	case Tick:
		cmds = s.tick(m, now)
	case HeadRead:
		cmds = s.headRead(m, now)
	case HeadHeard:
		cmds = s.headHeard(m, now)
	case TextGiven:
		cmds = s.textGiven(m, now)
	case TextAsked:
		cmds = s.textAsked(m)
	case Known:
		s.setKnown(m.Instances)
	case Announce:
		cmds = s.announceOwn(m, now)
	case Poll:
		s.nextPoll = now
		cmds = s.pollDue(now)
	}
	cmds = append(cmds, s.answerAsks(now)...)
	return append(cmds, s.judge(now)...)
}

func (s *DocumentTracker) tick(m Tick, now time.Time) []Cmd {
	s.connected = m.Connected
	cmds := s.pollDue(now)
	if !now.Before(s.nextBeat) {
		cmds = append(cmds, s.beat(now)...)
	}
	return append(cmds, s.fetchDue(now)...)
}

// pollDue reads the head when it is time. Reads may overlap, so that one whose
// answer is lost or late does not hold up the next.
func (s *DocumentTracker) pollDue(now time.Time) []Cmd {
	if s.polls == maxReads || now.Before(s.nextPoll) {
		return nil
	}
	s.polls++
	s.nextPoll = now.Add(s.jitter(s.bounds.Overlap))
	return []Cmd{ReadHead{}}
}

func (s *DocumentTracker) headRead(m HeadRead, now time.Time) []Cmd {
	s.polls--
	if errors.Is(m.Err, store.ErrNotFound) {
		m.Head, m.Err = store.Head{}, nil
	}
	if m.Err != nil {
		if next := now.Add(s.jitter(s.bounds.Retry)); next.Before(s.nextPoll) {
			s.nextPoll = next
		}
		return nil
	}
	s.nextPoll = m.Began.Add(s.jitter(s.bounds.Poll))
	t := target{version: m.Head.Version, change: m.Head.Change, digest: m.Head.Digest}
	cmds := s.want(t, Record{Kind: DocumentSeen, Note: noteOf(t)}, now)
	s.prove(t.version, m.Began)
	return cmds
}

func (s *DocumentTracker) headHeard(m HeadHeard, now time.Time) []Cmd {
	c := s.contactOf(m.From)
	after, proved := c.hear(m.Head, s.start)
	if s.off&roundTrip != 0 {
		after, proved = now, true
		c.at, c.settled, c.announced = now, m.Head.Settled, m.Head.Announced
	}
	var cmds []Cmd
	if m.Head.Announced > 0 && s.announce(m.Head.Announced, now.Add(-m.Head.AnnouncedAge)) {
		s.nextPoll = now
		cmds = append(cmds, s.beat(now)...)
	}
	t := target{version: m.Head.Version, change: m.Head.Change, digest: m.Head.Digest}
	seen := Record{Kind: DocumentSeen, Peer: m.From, Cause: m.Head.Cause, Note: noteOf(t)}
	cmds = append(cmds, s.want(t, seen, now)...)
	if proved && m.Head.Known {
		s.prove(t.version, after.Add(-max(0, m.Head.EvidenceAge)))
	}
	return cmds
}

// want takes in that a version was accepted, and records it if that is news.
// The peer of the record has the version in force; it is empty for the store.
func (s *DocumentTracker) want(t target, seen Record, now time.Time) []Cmd {
	if t.version <= s.wanted.version && (s.off&forwardOnly == 0 || t.version == s.wanted.version || t.version == 0) {
		return nil
	}
	s.wanted = t // a proof that an earlier version was the latest holds for t, too
	s.fetch = fetch{from: seen.Peer}
	return append([]Cmd{seen}, s.fetchDue(now)...)
}

// beat sends a head to each connected peer.
func (s *DocumentTracker) beat(now time.Time) []Cmd {
	s.nextBeat = now.Add(s.bounds.Heartbeat)
	if s.off&pushing != 0 {
		return nil
	}
	cmds := make([]Cmd, 0, len(s.connected))
	for _, n := range s.connected {
		cmds = append(cmds, SendHead{To: n, Head: s.head(s.contactOf(n), now)})
	}
	return cmds
}

func (s *DocumentTracker) head(c *contact, now time.Time) peer.Head {
	latest := s.current.version == s.wanted.version
	h := peer.Head{
		Version:   s.current.version,
		Change:    s.current.change,
		Digest:    s.current.digest,
		Known:     s.proof.known && latest,
		Announced: s.announced.version,
		Settled:   s.settledNow() && latest,
		Sequence:  c.next(now),
		Echo:      c.echo,
		Start:     s.start,
		EchoStart: c.start,
	}
	if h.Known {
		h.EvidenceAge = now.Sub(s.proof.at)
	}
	if h.Announced > 0 {
		h.AnnouncedAge = now.Sub(s.announced.at)
	}
	return h
}

// judge records when trust ends and begins.
func (s *DocumentTracker) judge(now time.Time) []Cmd {
	trusted := now.Before(s.TrustedUntil())
	if trusted == s.trusted {
		return nil
	}
	s.trusted = trusted
	if trusted {
		return []Cmd{Record{Kind: EvidenceRegained, After: EvidenceLost}}
	}
	return []Cmd{Record{Kind: EvidenceLost}}
}

func (s *DocumentTracker) setKnown(instances []ident.Instance) {
	s.known = instances
	for n := range s.contacts {
		if !slices.Contains(instances, n) && !slices.Contains(s.connected, n) {
			delete(s.contacts, n)
		}
	}
}

func (s *DocumentTracker) contactOf(n ident.Instance) *contact {
	c := s.contacts[n]
	if c == nil {
		c = &contact{}
		s.contacts[n] = c
	}
	return c
}

// jitter spreads d evenly by a fifth to both sides.
func (s *DocumentTracker) jitter(d time.Duration) time.Duration {
	const fifth = 5
	return d - d/fifth + time.Duration(s.random.Int64N(int64(2*d/fifth)+1))
}

// InForce returns the version in force on each known instance, in order: the
// own one, and what the others told last.
func (s *DocumentTracker) InForce() []InstanceVersion {
	all := make([]InstanceVersion, 0, len(s.known))
	for _, n := range s.known {
		v := InstanceVersion{Instance: n}
		if c := s.contacts[n]; c != nil {
			v.Version = c.version
			v.Connected = s.last.Sub(c.at) < s.bounds.Contact
		}
		if n == s.self {
			v.Version, v.Connected = s.current.version, true
		}
		all = append(all, v)
	}
	return all
}
