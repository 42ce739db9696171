package endpt

import (
	"sort"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// write is the image of one row after a transaction.
type write struct {
	Table   string
	Key     string
	Columns []string
	Values  []*string
	Deleted bool
}

// requestRecord is a request identifier that is recorded with a transaction.
type requestRecord struct {
	Request ident.Request
	Digest  string
	Tag     string
}

// record is one committed transaction, or the start of a term if it has neither
// writes nor request identifiers.
type record struct {
	Term     ident.Term
	Position ident.Position
	Writes   []write
	Once     []requestRecord
	At       int64 // of the commit, in nanoseconds of the primary's clock
}

// run is a sequence of consecutive records of one term.
type run struct {
	Term  ident.Term
	Start ident.Position
}

// recordLog is a log of records. Positions count from 1.
type recordLog struct {
	records []record
	runs    []run
}

func (h *recordLog) last() ident.LogPosition {
	if len(h.records) == 0 {
		return ident.LogPosition{}
	}
	r := &h.records[len(h.records)-1]
	return ident.LogPosition{Term: r.Term, Position: r.Position}
}

func (h *recordLog) add(r record) {
	if n := len(h.runs); n == 0 || h.runs[n-1].Term != r.Term {
		h.runs = append(h.runs, run{r.Term, r.Position})
	}
	h.records = append(h.records, r)
}

func (h *recordLog) truncate(keep ident.Position) {
	h.records = h.records[:keep:keep]
	for n := len(h.runs); n > 0 && h.runs[n-1].Start > keep; n-- {
		h.runs = h.runs[:n-1]
	}
}

// after returns the records after position p.
func (h *recordLog) after(p ident.Position) []record { return h.records[p:] }

// coveringPosition maps a log position to the position in this log that covers
// it. For a term that has ended, that is at most the last position before the
// next term. It returns false if the log contains neither the term of m nor a
// later one.
func (h *recordLog) coveringPosition(m ident.LogPosition) (ident.Position, bool) {
	if m.Zero() {
		return 0, true
	}
	i := sort.Search(len(h.runs), func(i int) bool { return h.runs[i].Term > m.Term })
	if i < len(h.runs) {
		return min(m.Position, h.runs[i].Start-1), true
	}
	if i > 0 && h.runs[i-1].Term == m.Term {
		return m.Position, true
	}
	return 0, false
}

// contains reports whether the log contains exactly the record at m.
func (h *recordLog) contains(m ident.LogPosition) bool {
	return m.Position <= h.last().Position && termAt(h.runs, m.Position) == m.Term
}

// termAt returns the term of the record at position p, given a log's runs, or 0
// if there is none.
func termAt(runs []run, p ident.Position) ident.Term {
	i := sort.Search(len(runs), func(i int) bool { return runs[i].Start > p })
	if i == 0 {
		return 0
	}
	return runs[i-1].Term
}

// commonPosition returns the last position at which two logs hold the same
// term. Logs that agree there agree on everything before it: the log matching
// property of Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", USENIX ATC 2014, section 5.3.
func commonPosition(a []run, lastA ident.Position, b []run, lastB ident.Position) ident.Position {
	p := min(lastA, lastB)
	for p > 0 {
		ta, tb := termAt(a, p), termAt(b, p)
		if ta == tb {
			return p
		}
		p = max(startAt(a, p), startAt(b, p)) - 1
	}
	return 0
}

func startAt(runs []run, p ident.Position) ident.Position {
	i := sort.Search(len(runs), func(i int) bool { return runs[i].Start > p })
	if i == 0 {
		return 0
	}
	return runs[i-1].Start
}
