package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// pauseGap is how long a process that runs never leaves Members without input.
const pauseGap = time.Second

// row is what is known of another instance.
type row struct {
	member  store.Member
	changed time.Time // when a read began that first showed it as it is
	left    bool
	live    bool
}

// Members decides which instances exist and which are live. An instance is
// live while its row changes, by the reader's monotonic clock, or while it is
// connected. Through an outage of the store the connections alone decide. It
// is not safe for concurrent use.
type Members struct {
	self      store.Member
	bounds    MemberBounds
	rows      map[ident.Instance]*row
	connected []ident.Instance

	last      time.Time // of the latest Update
	told      bool      // whether MembersChanged was ever given
	reading   bool
	writing   bool
	listed    []ident.Instance // as the platform listed them at listedAt
	listedAt  time.Time
	nextList  time.Time
	nextRead  time.Time
	nextWrite time.Time
}

// NewMembers returns the decider for the instance of the row self.
func NewMembers(self store.Member, bounds MemberBounds) *Members {
	return &Members{self: self, bounds: bounds, rows: make(map[ident.Instance]*row)}
}

// Update takes one input and returns what to do.
func (m *Members) Update(msg Msg, now time.Time) []Cmd {
	cmds := m.resume(now)
	return append(cmds, m.update(msg, now)...)
}

func (m *Members) update(msg Msg, now time.Time) []Cmd {
	switch v := msg.(type) {
	case Tick:
		m.connected = v.Connected
		return append(m.due(now), m.judge(now)...)
	case RowsRead:
		return append(m.rowsRead(v, now), m.judge(now)...)
	case Listed:
		m.listed, m.listedAt = v.Instances, now
	case RowWritten:
		m.writing = false
	case Left:
		if r := m.rows[v.From]; r != nil {
			r.left = true
		}
		return m.judge(now)
	}
	return nil
}

// resume notices that the process was paused. What it did not watch meanwhile
// speaks against nobody.
func (m *Members) resume(now time.Time) []Cmd {
	gap := now.Sub(m.last)
	paused := !m.last.IsZero() && gap >= pauseGap
	m.last = now
	if !paused {
		return nil
	}
	for _, r := range m.rows {
		r.changed = r.changed.Add(gap)
	}
	return []Cmd{Record{Kind: ProcessPaused, Note: gap.String()}}
}

func (m *Members) due(now time.Time) []Cmd {
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

func (m *Members) rowsRead(v RowsRead, now time.Time) []Cmd {
	m.reading = false
	if v.Err != nil {
		return nil
	}
	before := m.members()
	seen := make(map[ident.Instance]bool, len(v.Rows))
	for _, n := range v.Rows {
		seen[n.Instance] = true
		if n.Instance != m.self.Instance {
			m.take(n, v.Began)
		}
	}
	cmds := m.forget(seen)
	if len(cmds) > 0 {
		cmds = append(cmds, LiveChanged{Instances: m.live()})
	}
	cmds = append(cmds, m.remove(now)...)
	if after := m.members(); !m.told || !slices.EqualFunc(before, after, sameAddress) {
		m.told = true
		cmds = append(cmds, MembersChanged{Members: after})
	}
	return cmds
}

// take notes a row as read. A new start cancels an earlier farewell.
func (m *Members) take(n store.Member, began time.Time) {
	r := m.rows[n.Instance]
	if r == nil {
		m.rows[n.Instance] = &row{member: n, changed: began}
		return
	}
	if r.member.Start != n.Start {
		r.left = false
	}
	if r.member != n {
		r.member, r.changed = n, began
	}
}

// forget drops the rows that were deleted.
func (m *Members) forget(seen map[ident.Instance]bool) []Cmd {
	var cmds []Cmd
	for _, n := range m.names() {
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

// remove deletes rows of instances that are long gone. The live instances try
// in an order of their own for each row, with growing patience.
func (m *Members) remove(now time.Time) []Cmd {
	var cmds []Cmd
	live := m.live()
	half := 2*(m.touched()+1) >= len(m.rows)+1
	for _, n := range m.names() {
		place := RankOf(string(n), live, m.self.Instance)
		patience := m.bounds.Remove * time.Duration(1+place)
		silent := now.Sub(m.rows[n].changed) >= patience
		if silent && !slices.Contains(m.connected, n) && (half || m.unlisted(n, now)) {
			cmds = append(cmds, RemoveRow{Instance: n})
		}
	}
	return cmds
}

// unlisted reports whether the platform's list shows that an instance is gone.
// A list that lacks this instance says nothing about the others.
func (m *Members) unlisted(n ident.Instance, now time.Time) bool {
	fresh := !m.listedAt.IsZero() && now.Sub(m.listedAt) < 3*m.bounds.List
	return fresh && slices.Contains(m.listed, m.self.Instance) && !slices.Contains(m.listed, n)
}

// touched counts the known instances that are connected.
func (m *Members) touched() int {
	count := 0
	for _, n := range m.connected {
		if m.rows[n] != nil {
			count++
		}
	}
	return count
}

// judge decides anew who is live.
func (m *Members) judge(now time.Time) []Cmd {
	var cmds []Cmd
	for _, n := range m.names() {
		r := m.rows[n]
		connected := slices.Contains(m.connected, n)
		live := !r.left && (connected || now.Sub(r.changed) < m.bounds.Life)
		if live == r.live {
			continue
		}
		r.live = live
		cmds = append(cmds, recordOf(n, r))
	}
	if len(cmds) > 0 {
		cmds = append(cmds, LiveChanged{Instances: m.live()})
	}
	return cmds
}

func recordOf(n ident.Instance, r *row) Cmd {
	switch {
	case r.live:
		return Record{Kind: MemberSeen, After: MemberLost, Peer: n}
	case r.left:
		return Record{Kind: MemberLost, After: MemberSeen, Peer: n, Note: "left"}
	}
	return Record{Kind: MemberLost, After: MemberSeen, Peer: n, Note: "silent"}
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

// names returns the names of the other instances in order.
func (m *Members) names() []ident.Instance { return slices.Sorted(maps.Keys(m.rows)) }

func sameAddress(a, b store.Member) bool {
	a.Renewal, b.Renewal = 0, 0
	return a == b
}
