package emul

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Row is one row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Dropped bool   `json:"tombstone,omitempty"`
}

// rowsResponse is the body of a response about rows.
type rowsResponse struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

// Store emulates the platform's row store and promotion call over HTTP.
type Store struct {
	mu            sync.Mutex
	rows          map[rowID]Row
	version       uint64
	oldest        uint64 // earlier history has been compacted
	changed       chan struct{}
	status        int    // returned for every call, unless zero
	hiddenTable   string // table for which every call fails
	stalledTable  string // table for which no call is answered
	loseResponses int    // number of next transactions that take effect without a response
	groups        map[ident.Group]*Group
	epochs        map[ident.Group]uint64
	calls         int
	promoted      []ident.Endpoint
	orders        []Order
	era           int // how often the store has come back from its copy
	copied        map[rowID]Row
	copiedVersion uint64
	evacuations   []Evacuation
}

// NewStore returns an empty store that promotes in the groups.
func NewStore(groups ...*Group) *Store {
	s := &Store{
		rows: make(map[rowID]Row), changed: make(chan struct{}),
		groups: make(map[ident.Group]*Group), epochs: make(map[ident.Group]uint64),
	}
	for _, g := range groups {
		s.groups[g.config.Name] = g
	}
	return s
}

// Put writes a row without conditions.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(Row{Table: table, Key: key, Value: value})
}

// Drop removes a row.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(Row{Table: table, Key: key, Dropped: true})
}

// change stores rows under one new version. The caller holds the mutex.
func (s *Store) change(rows ...Row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
	}
	s.broadcast()
}

// Keys returns the keys of a table, sorted.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, row := range s.rows {
		if id.table == table && !row.Dropped {
			out = append(out, id.key)
		}
	}
	slices.Sort(out)
	return out
}

// Fail makes every call return a status. Zero ends the fault.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.broadcast()
}

// Hide makes every call about a table return 503. An empty name ends the fault.
func (s *Store) Hide(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hiddenTable = table
}

// Stall leaves calls about a table unanswered. An empty name ends it for later
// calls.
func (s *Store) Stall(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledTable = table
}

// LoseAnswers makes the next n transactions take effect without a response.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = n
}

// Compact drops the change history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
	s.broadcast()
}

// Copy takes the copy from which ReturnFromCopy restores the store.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedVersion = maps.Clone(s.rows), s.version
}

// ReturnFromCopy restores the copy. What the system has written since is lost; the rows
// of the tables in kept, which others write, are written again.
func (s *Store) ReturnFromCopy(kept ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.rows
	s.rows, s.version = maps.Clone(s.copied), s.copiedVersion
	s.era++
	for id, row := range lost {
		if slices.Contains(kept, id.table) && row.Version != s.rows[id].Version {
			s.change(row)
		}
	}
	s.broadcast()
}

// Order is a promotion that was accepted.
type Order struct {
	Holder string
	Token  uint64 // fencing token
	group  ident.Group
}

// Orders returns the promotions that were accepted.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// broadcast wakes every goroutine that waits for a change. The caller holds the
// mutex.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status := s.status
	if s.hiddenTable != "" && r.URL.Query().Get("table") == s.hiddenTable {
		status = http.StatusServiceUnavailable
	}
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
	stalled := s.stalledTable != "" && r.URL.Query().Get("table") == s.stalledTable
	s.mu.Unlock()
	if stalled {
		<-r.Context().Done()
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/marjoramrudder/") {
	case "rows-get":
		s.get(w, r)
	case "rows-feed":
		s.feed(w, r)
	case "rows-tx":
		s.transact(w, r)
	case "/promotion":
		s.promote(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeResponse(w http.ResponseWriter, status int, a rowsResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	a := rowsResponse{Version: s.version, Rows: []Row{}}
	for id, row := range s.rows {
		inside := id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && !row.Dropped
		if inside && (q.Get("to") == "" || id.key < q.Get("to")) {
			a.Rows = append(a.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Rows, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	writeResponse(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		a, compacted, status, changed := s.changesAfter(q.Get("table"), after), after < s.oldest || after > s.version, s.status, s.changed
		if s.era > 0 {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
		}
		s.mu.Unlock()
		switch {
		case status != 0:
			w.WriteHeader(status)
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Rows) > 0:
			writeResponse(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeResponse(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the rows of a table that changed after a version. The
// caller holds the mutex.
func (s *Store) changesAfter(table string, after uint64) rowsResponse {
	a := rowsResponse{Version: s.version, Rows: []Row{}}
	for id, row := range s.rows {
		if id.table == table && row.Version > after {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y Row) int { return int(x.Version) - int(y.Version) })
	return a
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Writes, Remove []Row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsResponse{Rows: []Row{}}
	conflict := false
	if slices.ContainsFunc(t.Writes, func(r Row) bool { return r.Table == s.hiddenTable }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, e := range t.Expected {
		id := rowID{e.Table, e.Part, e.Key}
		current := s.rows[id]
		if current.Dropped || current.Version == 0 {
			current = Row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		conflict = conflict || current.Version != e.Version
		a.Rows = append(a.Rows, current)
	}
	a.Version = s.version
	if conflict {
		writeResponse(w, http.StatusPreconditionFailed, a)
		return
	}
	rows := t.Writes
	for _, d := range t.Remove {
		rows = append(rows, Row{Table: d.Table, Part: d.Part, Key: d.Key, Dropped: true})
	}
	s.change(rows...)
	if s.loseResponses > 0 {
		s.loseResponses--
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, http.StatusOK, rowsResponse{Version: s.version, Rows: []Row{}})
}

// promote handles the promotion call. It refuses an outdated epoch.
func (s *Store) promote(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Service ident.Group    `json:"service"`
		ID      ident.Endpoint `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	epoch, _ := strconv.ParseUint(r.Header.Get("X-Marjoramrudder-Fencing-Token"), 10, 64)
	s.mu.Lock()
	g := s.groups[call.Service]
	outdated := epoch < s.epochs[call.Service]
	if !outdated {
		s.epochs[call.Service] = epoch
		s.promoted = append(s.promoted, call.ID)
		s.orders = append(s.orders, Order{Holder: r.Header.Get("X-Marjoramrudder-Duty-Holder"), Token: epoch, group: call.Service})
	}
	s.mu.Unlock()
	if g == nil || outdated || !g.isRunning(call.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
	g.promoting.Go(func() { g.Promote(call.ID) })
}
