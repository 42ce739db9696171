package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// replicaLag is how long after its commit a replica applies an entry.
	replicaLag = 20 * time.Millisecond
	// workTime is how long a read, a write or a commit occupies a slot.
	workTime = 5 * time.Millisecond
	// firstPosition is the log position before the first commit.
	firstPosition = 1200
	// promoteTime is the duration of a promotion.
	promoteTime = 600 * time.Millisecond
)

// execution is a read, a write or a commit that a server ran.
type execution struct {
	server  string
	conn    int
	tx      int // number of the server's transaction, zero for none
	id      string
	text    string
	account string
	receipt string // empty if it failed
	rows    []string
	writes  []entry // that a commit made permanent
}

// entry is one write in the log of a service.
type entry struct {
	item, data string
	by         string // ID of the statement that wrote it
	at         time.Time
}

// service is a database service: a primary and its replicas, which share one
// log. A replica sees an entry replicaLag after its commit.
type service struct {
	name     string
	maxConns int
	record   *record

	mu         sync.Mutex
	term       int
	log        []entry
	servers    []*server
	executions []execution
	conns, txs int
	// work returns how long a statement takes at a server.
	work func(server, text string) time.Duration
}

// server is one server of a service.
type server struct {
	id, zone string
	service  *service
	listener net.Listener
	slots    chan struct{}

	primary  bool
	draining bool
	gone     bool
	paused   int // term of the latest PAUSE
	open     int
}

func newService(name string, slots, maxConns int, zones []string, r *record) (*service, error) {
	s := &service{name: name, maxConns: maxConns, record: r, term: 3, work: func(string, string) time.Duration { return workTime }}
	for range zones {
		if err := s.add(zones[len(s.servers)], slots); err != nil {
			return nil, err
		}
	}
	s.servers[0].primary = true
	return s, nil
}

// add starts a further server, a replica.
func (s *service) add(zone string, slots int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &server{id: fmt.Sprintf("i-%s-%c", s.name, 'a'+len(s.servers)), zone: zone, service: s, listener: l, slots: make(chan struct{}, slots)}
	s.servers = append(s.servers, v)
	go v.accept()
	return nil
}

// all returns all servers, also those that are gone.
func (s *service) all() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*server(nil), s.servers...)
}

// leader returns the primary.
func (s *service) leader() *server {
	for _, v := range s.all() {
		if v.isPrimary() {
			return v
		}
	}
	return nil
}

func (s *service) close() {
	for _, v := range s.all() {
		_ = v.listener.Close()
	}
}

// ran returns what the servers have run so far.
func (s *service) ran() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution(nil), s.executions...)
}

// promote makes a server the primary of the next term. It reports whether the
// server exists.
func (s *service) promote(id string) bool {
	for _, v := range s.all() {
		if v.id != id {
			continue
		}
		go func() {
			time.Sleep(promoteTime)
			s.mu.Lock()
			defer s.mu.Unlock()
			if v.primary {
				return
			}
			s.term++
			for _, o := range s.servers {
				o.primary, o.paused = o == v, 0
			}
			s.record.note("server %s leads term %d", id, s.term)
		}()
		return true
	}
	return false
}

func (v *server) accept() {
	for {
		c, err := v.listener.Accept()
		if err != nil {
			return
		}
		go v.serve(c)
	}
}

// session is one connection to a server.
type session struct {
	server   *server
	conn     net.Conn
	number   int
	account  string
	state    string // I, T or E
	plain    bool   // the open transaction may write
	tx       int
	writes   []entry
	values   map[string]string
	prepared map[string]string // shape by name, with its access mode
}

func (v *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	line, err := readLine(in)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != v.service.name || len(f) > 3 && f[3] != v.id {
		_, _ = fmt.Fprintf(c, "ERROR WRONGHOST %s\r\n", v.id)
		return
	}
	s := v.service
	s.mu.Lock()
	if v.open >= s.maxConns {
		s.mu.Unlock()
		_, _ = fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", v.id)
		return
	}
	v.open++
	s.conns++
	n := &session{server: v, conn: c, number: s.conns, account: f[2], state: "I", values: map[string]string{}, prepared: map[string]string{}}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		v.open--
		s.mu.Unlock()
		if n.state == "T" {
			s.record.note("server %s conn %d: closed, transaction %d is rolled back", v.id, n.number, n.tx)
		}
	}()
	n.ready()
	for {
		line, err := readLine(in)
		if err != nil || !strings.HasPrefix(line, "QUERY ") {
			return
		}
		id, text, _ := strings.Cut(strings.TrimPrefix(line, "QUERY "), " ")
		n.query(id, text)
	}
}

// readLine reads a line that ends in CR LF. A LF alone belongs to the line.
func readLine(in *bufio.Reader) (string, error) {
	line := ""
	for {
		part, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		line += part
		if strings.HasSuffix(line, "\r\n") {
			return strings.TrimSuffix(line, "\r\n"), nil
		}
	}
}

func (n *session) send(line string) { _, _ = n.conn.Write([]byte(line + "\r\n")) }

func (n *session) ready() {
	s := n.server.service
	s.mu.Lock()
	position := fmt.Sprintf("%d.%d", s.term, firstPosition+n.server.applied())
	s.mu.Unlock()
	n.send("READY " + n.state + " " + position)
}

// applied returns how many entries of the log the server sees. The caller holds
// the mutex.
func (v *server) applied() int {
	all := len(v.service.log)
	if v.primary {
		return all
	}
	for all > 0 && time.Since(v.service.log[all-1].at) < replicaLag {
		all--
	}
	return all
}

func (n *session) query(id, text string) {
	rows, receipt, failure := n.run(id, text)
	for _, r := range rows {
		n.send("ROW " + r)
	}
	if failure != "" {
		if n.state == "T" && !strings.HasPrefix(failure, "BUSY") {
			n.state = "E"
		}
		n.send("ERROR " + failure)
	} else {
		n.send("DONE " + receipt)
	}
	n.ready()
}

// run runs one statement. The failure is empty if it succeeded.
func (n *session) run(id, text string) (rows []string, receipt, failure string) {
	v := n.server
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		var after string
		after, text, _ = strings.Cut(rest, " ")
		if !v.holds(after) {
			return nil, "", "LAGGING " + v.id
		}
		word, rest, _ = strings.Cut(text, " ")
	}
	if n.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "", "MALFORMED the transaction has failed"
	}
	if n.state == "T" && n.plain && word != "ROLLBACK" && !v.isPrimary() {
		return nil, "", "READONLY " + v.id
	}
	switch word {
	case "BEGIN":
		return n.begin(rest)
	case "ROLLBACK":
		n.state, n.tx, n.writes = "I", 0, nil
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		n.values[name] = value
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		n.prepared[name] = shape
	case "RESET":
		n.values, n.prepared = map[string]string{}, map[string]string{}
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return n.work(id, text, word, rest)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return n.control(word, rest)
	default:
		return nil, "", "MALFORMED unknown statement"
	}
	return nil, "-", ""
}

func (v *server) isPrimary() bool {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	return v.primary
}

// set changes the server.
func (v *server) set(change func()) {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	change()
}

// holds reports whether the server's log holds a position.
func (v *server) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.Atoi(term)
	p, _ := strconv.Atoi(number)
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	return t <= v.service.term && p <= firstPosition+v.applied()
}

func (n *session) begin(rest string) ([]string, string, string) {
	s := n.server.service
	if n.state != "I" {
		return nil, "", "MALFORMED a transaction is open"
	}
	if rest == "" && !n.server.isPrimary() {
		return nil, "", "READONLY " + n.server.id
	}
	s.mu.Lock()
	s.txs++
	n.state, n.plain, n.tx, n.writes = "T", rest == "", s.txs, nil
	s.mu.Unlock()
	s.record.note("server %s conn %d: transaction %d begins, account %s", n.server.id, n.number, n.tx, n.account)
	return nil, "-", ""
}

// work runs a statement that occupies a slot.
func (n *session) work(id, text, word, rest string) (rows []string, receipt, failure string) {
	v, s := n.server, n.server.service
	v.slots <- struct{}{}
	s.mu.Lock()
	duration := s.work(v.id, text)
	s.mu.Unlock()
	time.Sleep(duration)
	defer func() { <-v.slots }()
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := n.prepared[name]
		if !ok {
			return nil, "", "NOSTMT " + name
		}
		access, _, _ := strings.Cut(shape, " ")
		word, rest = access, arguments
	}
	if word == "WRITE" && (!v.isPrimary() || n.state == "T" && !n.plain) {
		return nil, "", "READONLY " + v.id
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := execution{server: v.id, conn: n.number, tx: n.tx, id: id, text: text, account: n.account}
	item, data, _ := strings.Cut(rest, " ")
	w := entry{item: item, data: data, by: id, at: time.Now()}
	switch {
	case word == "READ":
		e.rows = []string{n.read(item)}
	case word == "WRITE" && n.state == "T":
		n.writes = append(n.writes, w)
	case word == "WRITE":
		s.log = append(s.log, w)
		e.writes = []entry{w}
	case n.state != "T":
		n.state, n.tx, n.writes = "I", 0, nil
		return nil, "", "ABORTED no transaction is open"
	default:
		for _, w := range n.writes {
			w.at = time.Now()
			s.log = append(s.log, w)
			e.writes = append(e.writes, w)
		}
		n.state, n.tx, n.writes = "I", 0, nil
	}
	e.receipt = fmt.Sprintf("7.%x.%s.%s", len(s.executions)+1, v.id, id)
	s.executions = append(s.executions, e)
	s.record.note("server %s conn %d transaction %d account %s: ran %s %q, receipt %s, rows %q, commits %s", v.id, n.number, e.tx, n.account, id, text, e.receipt, e.rows, items(e.writes))
	return e.rows, e.receipt, ""
}

// read returns the data of an item as the session sees it. The caller holds the
// mutex.
func (n *session) read(item string) string {
	for i := len(n.writes) - 1; i >= 0; i-- {
		if n.writes[i].item == item {
			return n.writes[i].data
		}
	}
	for i := n.server.applied() - 1; i >= 0; i-- {
		if e := n.server.service.log[i]; e.item == item {
			return e.data
		}
	}
	return "none"
}

// control runs a control statement and returns the status row.
func (n *session) control(word, rest string) ([]string, string, string) {
	v, s := n.server, n.server.service
	term, _ := strconv.Atoi(rest)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch word {
	case "PAUSE":
		v.paused = max(v.paused, term)
	case "RESUME":
		v.paused = 0
	case "STEPDOWN":
		v.primary = v.primary && s.term >= term
	}
	role := "replica"
	if v.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %d.%d %d %d %d %d", role, s.term, s.term, firstPosition+len(s.log), v.paused, replicaLag.Milliseconds(), len(v.slots), v.open)
	return []string{row}, "-", ""
}

// items names the items of some entries and the statements that wrote them.
func items(all []entry) string {
	var b strings.Builder
	for i, e := range all {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s=%q by %s", e.item, e.data, e.by)
	}
	return "[" + b.String() + "]"
}
