package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// pauseThreshold is the time without input after which Members assumes that the
// process was paused.
const pauseThreshold = time.Second

// memberRow is what is known about another instance.
type memberRow struct {
	member    store.Member
	changedAt time.Time // start of the read that first showed the present row
	leaving   bool
	live      bool
}

// Members decides which instances exist and which are live. An instance is live
// while its row changes, by the reader's monotonic clock, or while it is
// connected. During an outage of the store only the connections count. It is
// not safe for concurrent use.
type Members struct {
	self      store.Member
	bounds    MemberBounds
	rows      map[ident.Instance]*memberRow
	connected []ident.Instance

	lastUpdate  time.Time
	membersSent bool // whether MembersChanged was ever sent
	reading     bool
	writing     bool
	listed      []ident.Instance // as the platform listed them at listedAt
	listedAt    time.Time
	nextList    time.Time
	nextRead    time.Time
	nextWrite   time.Time
}

// NewMembers returns a Members for the instance with the row self.
func NewMembers(self store.Member, bounds MemberBounds) *Members {
	return &Members{self: self, bounds: bounds, rows: make(map[ident.Instance]*memberRow)}
}

// Update handles one input and returns the commands to execute.
func (m *Members) Update(msg Msg, now time.Time) []Cmd {
	cmds := m.detectPause(now)
	return append(cmds, m.update(msg, now)...)
}

func (m *Members) update(msg Msg, now time.Time) []Cmd {
	switch v := msg.(type) {
	case Tick:
		m.connected = v.Connected
		return append(m.dueCommands(now), m.updateLiveness(now)...)
	case RowsRead:
		return append(m.handleRowsRead(v, now), m.updateLiveness(now)...)
	case InstancesListed:
		m.listed, m.listedAt = v.Instances, now
	case RowWritten:
		m.writing = false
	case PeerLeaving:
		if r := m.rows[v.From]; r != nil {
			r.leaving = true
		}
		return m.updateLiveness(now)
	}
	return nil
}

// detectPause detects that the process was paused. The time of the pause does
// not count towards the age of rows, because changes could not be seen then.
func (m *Members) detectPause(now time.Time) []Cmd {
	gap := now.Sub(m.lastUpdate)
	paused := !m.lastUpdate.IsZero() && gap >= pauseThreshold
	m.lastUpdate = now
	if !paused {
		return nil
	}
	for _, r := range m.rows {
		r.changedAt = r.changedAt.Add(gap)
	}
	return []Cmd{Record{Kind: ProcessPaused, Note: gap.String()}}
}

func (m *Members) dueCommands(now time.Time) []Cmd {
	var cmds []Cmd
	if !m.writing && !now.Before(m.nextWrite) {
		m.writing = true
		m.nextWrite = now.Add(m.bounds.Renew)
		m.self.Renewal++
		cmds = append(cmds, WriteRow{Member: m.self})
	}
	if !m.reading && !now.Before(m.nextRead) {
		m.reading = true
		m.nextRead = now.Add(m.bounds.Poll)
		cmds = append(cmds, ReadRows{})
	}
	if !now.Before(m.nextList) {
		m.nextList = now.Add(m.bounds.List)
		cmds = append(cmds, ReadList{})
	}
	return cmds
}

func (m *Members) handleRowsRead(v RowsRead, now time.Time) []Cmd {
	m.reading = false
	if v.Err != nil {
		return nil
	}
	before := m.members()
	seen := make(map[ident.Instance]bool, len(v.Rows))
	for _, n := range v.Rows {
		seen[n.Instance] = true
		if n.Instance != m.self.Instance {
			m.updateRow(n, v.StartedAt)
		}
	}
	cmds := m.dropDeleted(seen)
	if len(cmds) > 0 {
		cmds = append(cmds, LiveChanged{Instances: m.live()})
	}
	cmds = append(cmds, m.removeGone(now)...)
	if after := m.members(); !m.membersSent || !slices.EqualFunc(before, after, sameAddress) {
		m.membersSent = true
		cmds = append(cmds, MembersChanged{Members: after})
	}
	return cmds
}

// updateRow applies a row that was read. A new process of an instance cancels
// the shutdown notice of an earlier one.
func (m *Members) updateRow(n store.Member, readStart time.Time) {
	r := m.rows[n.Instance]
	if r == nil {
		m.rows[n.Instance] = &memberRow{member: n, changedAt: readStart}
		return
	}
	if r.member.Start != n.Start {
		r.leaving = false
	}
	if r.member != n {
		r.member, r.changedAt = n, readStart
	}
}

// dropDeleted drops the rows that were deleted.
func (m *Members) dropDeleted(seen map[ident.Instance]bool) []Cmd {
	var cmds []Cmd
	for _, n := range m.otherNames() {
		if seen[n] {
			continue
		}
		if m.rows[n].live {
			cmds = append(cmds, Record{Kind: MemberLost, Peer: n, Note: "row deleted"})
		}
		delete(m.rows, n)
	}
	return cmds
}

// removeGone deletes rows of instances that have been gone for long. For each
// row the live instances try in their rank order, each waiting longer than the
// one before it.
func (m *Members) removeGone(now time.Time) []Cmd {
	var cmds []Cmd
	live := m.live()
	connectedToHalf := 2*(m.connectedCount()+1) >= len(m.rows)+1
	for _, n := range m.otherNames() {
		rank := RankOf(string(n), live, m.self.Instance)
		delay := m.bounds.Remove * time.Duration(1+rank)
		silent := now.Sub(m.rows[n].changedAt) >= delay
		if silent && !slices.Contains(m.connected, n) && (connectedToHalf || m.unlisted(n, now)) {
			cmds = append(cmds, RemoveRow{Instance: n})
		}
	}
	return cmds
}

// unlisted reports whether the platform's list shows that an instance is gone.
// A list that lacks this instance proves nothing about the others.
func (m *Members) unlisted(n ident.Instance, now time.Time) bool {
	recent := !m.listedAt.IsZero() && now.Sub(m.listedAt) < 3*m.bounds.List
	return recent && slices.Contains(m.listed, m.self.Instance) && !slices.Contains(m.listed, n)
}

// connectedCount returns the number of known instances that are connected.
func (m *Members) connectedCount() int {
	count := 0
	for _, n := range m.connected {
		if m.rows[n] != nil {
			count++
		}
	}
	return count
}

// updateLiveness decides which instances are live and reports changes.
func (m *Members) updateLiveness(now time.Time) []Cmd {
	var cmds []Cmd
	for _, n := range m.otherNames() {
		r := m.rows[n]
		connected := slices.Contains(m.connected, n)
		live := !r.leaving && (connected || now.Sub(r.changedAt) < m.bounds.Life)
		if live == r.live {
			continue
		}
		r.live = live
		cmds = append(cmds, livenessRecord(n, r))
	}
	if len(cmds) > 0 {
		cmds = append(cmds, LiveChanged{Instances: m.live()})
	}
	return cmds
}

func livenessRecord(n ident.Instance, r *memberRow) Cmd {
	switch {
	case r.live:
		return Record{Kind: MemberSeen, CauseKind: MemberLost, Peer: n}
	case r.leaving:
		return Record{Kind: MemberLost, CauseKind: MemberSeen, Peer: n, Note: "left"}
	}
	return Record{Kind: MemberLost, CauseKind: MemberSeen, Peer: n, Note: "silent"}
}

func (m *Members) live() []ident.Instance {
	live := []ident.Instance{m.self.Instance}
	for n, r := range m.rows {
		if r.live {
			live = append(live, n)
		}
	}
	slices.Sort(live)
	return live
}

func (m *Members) members() []store.Member {
	all := []store.Member{m.self}
	for _, r := range m.rows {
		all = append(all, r.member)
	}
	slices.SortFunc(all, func(a, b store.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// otherNames returns the names of the other instances in order.
func (m *Members) otherNames() []ident.Instance { return slices.Sorted(maps.Keys(m.rows)) }

func sameAddress(a, b store.Member) bool {
	a.Renewal, b.Renewal = 0, 0
	return a == b
}
