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

func (l *recordLog) last() ident.LogPosition {
	if len(l.records) == 0 {
		return ident.LogPosition{}
	}
	r := &l.records[len(l.records)-1]
	return ident.LogPosition{Term: r.Term, Position: r.Position}
}

func (l *recordLog) add(r record) {
	if n := len(l.runs); n == 0 || l.runs[n-1].Term != r.Term {
		l.runs = append(l.runs, run{r.Term, r.Position})
	}
	l.records = append(l.records, r)
}

func (l *recordLog) truncate(keep ident.Position) {
	l.records = l.records[:keep:keep]
	for n := len(l.runs); n > 0 && l.runs[n-1].Start > keep; n-- {
		l.runs = l.runs[:n-1]
	}
}

// after returns the records after position p.
func (l *recordLog) after(p ident.Position) []record { return l.records[p:] }

// coveringPosition maps a log position to the position in this log that covers
// it. For a term that has ended, that is at most the last position before the
// next term. It returns false if the log contains neither the term of pos nor
// a later one.
func (l *recordLog) coveringPosition(pos ident.LogPosition) (ident.Position, bool) {
	if pos.Zero() {
		return 0, true
	}
	i := sort.Search(len(l.runs), func(i int) bool { return l.runs[i].Term > pos.Term })
	if i < len(l.runs) {
		return min(pos.Position, l.runs[i].Start-1), true
	}
	if i > 0 && l.runs[i-1].Term == pos.Term {
		return pos.Position, true
	}
	return 0, false
}

// contains reports whether the log contains exactly the record at pos.
func (l *recordLog) contains(pos ident.LogPosition) bool {
	return pos.Position <= l.last().Position && termAt(l.runs, pos.Position) == pos.Term
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
