package emul

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// lineConn is a server's side of one connection.
type lineConn struct {
	server          *Server
	conn            net.Conn
	in              *bufio.Reader
	account         string
	state           string // I, T or E
	requiresPrimary bool   // the transaction was begun for writes
	writes          []Entry
	variables       map[string]string
	prepared        map[string]shape
	id              audit.ConnID
	tx              audit.TxID // of the record, zero outside a transaction
	released        sync.Once
}

// shape is what a prepared statement does.
type shape struct {
	access string // READ or WRITE
	text   string
}

// failure is an error answer. An empty code closes the connection instead.
type failure struct{ code, text string }

// Serve handles one connection until it closes.
func (s *Server) Serve(conn net.Conn) {
	c := &lineConn{server: s, conn: conn, in: bufio.NewReader(conn), state: "I", variables: map[string]string{}, prepared: map[string]shape{}, id: s.group.config.Record.NextConn()}
	defer func() { _ = conn.Close() }()
	if !c.handshake() {
		return
	}
	defer c.release()
	lines := make(chan string)
	s.group.serving.Go(func() { c.read(lines) })
	for line := range lines {
		if strings.HasPrefix(line, "TERMINATE") || !c.query(strings.TrimRight(line, "\r\n")) {
			break
		}
	}
	_ = conn.Close()
	for range lines { // until read has ended
	}
}

// read reads lines until the connection ends. The connection does not count any more
// then, also while its last statement waits for a replica.
func (c *lineConn) read(lines chan<- string) {
	defer close(lines)
	defer c.release()
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return
		}
		lines <- line
	}
}

// release frees the connection's place at the server.
func (c *lineConn) release() {
	c.released.Do(func() {
		c.server.set(func() {
			c.server.conns--
			delete(c.server.closers, c)
		})
	})
}

// handshake handles the startup line. It reports whether the connection was
// accepted.
func (c *lineConn) handshake() bool {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return false
	}
	f := strings.Fields(line)
	s := c.server
	if s.get(func() bool { return s.down }) {
		return false
	}
	c.awaitResponsive()
	if len(f) < 3 || f[1] != string(s.group.config.Name) || len(f) > 3 && f[3] != string(s.id) {
		c.send("ERROR WRONGHOST " + string(s.id))
		return false
	}
	c.account = f[2]
	full := false
	s.set(func() {
		full = s.full || s.conns >= s.group.config.MaxConns
		if !full {
			s.conns++
			if s.closers == nil {
				s.closers = make(map[*lineConn]struct{})
			}
			s.closers[c] = struct{}{}
		}
	})
	if full {
		c.send("ERROR TOOMANY " + string(s.id))
		return false
	}
	c.ready()
	return true
}

// awaitResponsive blocks while the server is unresponsive.
func (c *lineConn) awaitResponsive() {
	s := c.server
	for {
		s.group.mu.Lock()
		unresponsive, changed := s.unresponsive, s.group.changed
		s.group.mu.Unlock()
		if !unresponsive {
			return
		}
		<-changed
	}
}

// query runs one query and answers it. It reports whether the connection stays
// open.
func (c *lineConn) query(line string) bool {
	_, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	c.server.receive(id)
	c.server.recordArrival(id, text)
	c.awaitResponsive()
	step := c.newStep(id, text)
	rows, signature, f := c.run(id, text, &step)
	c.record(step, rows, signature, f)
	if f == nil && c.losesAnswer(text) {
		return false
	}
	for _, r := range rows {
		c.send("ROW " + r)
	}
	switch {
	case f == nil:
		c.send("DONE " + signature)
	case f.code == "":
		return false
	default:
		if c.state == "T" && f.code != "BUSY" {
			c.state = "E"
		}
		c.send("ERROR " + f.code + " " + f.text)
	}
	c.ready()
	return true
}

// losesAnswer reports whether to drop the answer to a query, as LoseAnswers
// requested.
func (c *lineConn) losesAnswer(text string) bool {
	lost := false
	c.server.set(func() {
		if c.server.loseNext > 0 && !strings.HasPrefix(text, "STATUS") {
			c.server.loseNext--
			lost = true
		}
	})
	return lost
}

func (c *lineConn) ready() {
	c.server.group.mu.Lock()
	p := c.server.applied()
	c.server.group.mu.Unlock()
	c.send(fmt.Sprintf("READY %s %d.%d", c.state, p.Term, p.Position))
}

func (c *lineConn) send(line string) { _, _ = c.conn.Write([]byte(line + "\r\n")) }

// run executes one statement.
func (c *lineConn) run(id, text string, step *audit.Step) (rows []string, signature string, f *failure) {
	position, statement := splitFloor(text)
	if position != "" && !c.hasApplied(position) {
		return nil, "", &failure{"LAGGING", string(c.server.id)}
	}
	word, rest, _ := strings.Cut(statement, " ")
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "", &failure{"MALFORMED", "failed transaction"}
	}
	if c.state == "T" && c.requiresPrimary && !c.server.IsPrimary() {
		return nil, "", &failure{"READONLY", string(c.server.id)}
	}
	switch word {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return c.work(id, text, word, rest, step)
	case "BEGIN":
		return c.begin(rest)
	case "ROLLBACK":
		c.endTx()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.variables[name] = value
	case "PREPARE":
		name, statement, _ := strings.Cut(rest, " ")
		access, text, _ := strings.Cut(statement, " ")
		c.prepared[name] = shape{access: access, text: text}
	case "RESET":
		c.variables, c.prepared = map[string]string{}, map[string]shape{}
	default:
		return c.control(word, rest)
	}
	return nil, "-", nil
}

// splitFloor returns the floor of a statement, empty if it has none, and the statement
// without it.
func splitFloor(text string) (position, statement string) {
	rest, ok := strings.CutPrefix(text, "AFTER ")
	if !ok {
		return "", text
	}
	position, statement, _ = strings.Cut(rest, " ")
	return position, statement
}

func (c *lineConn) hasApplied(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseInt(term, 10, 64)
	n, _ := strconv.ParseInt(number, 10, 64)
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	a := c.server.applied()
	return int64(a.Term) >= t && int64(a.Position) >= n
}

func (c *lineConn) begin(rest string) ([]string, string, *failure) {
	if rest == "" && !c.server.IsPrimary() {
		return nil, "", &failure{"READONLY", string(c.server.id)}
	}
	c.state, c.requiresPrimary, c.writes, c.tx = "T", rest == "", nil, c.server.group.config.Record.NextTx()
	return nil, "-", nil
}

// work executes a statement that occupies a slot.
func (c *lineConn) work(id, text, word, rest string, step *audit.Step) ([]string, string, *failure) {
	s := c.server
	s.slots <- struct{}{}
	began := time.Now()
	time.Sleep(s.group.config.Work)
	defer func() { <-s.slots }()
	s.set(func() {
		s.ran = append(s.ran, Run{ID: id, Text: text, Account: c.account, Began: began, Ended: time.Now()})
	})
	write := word == "WRITE"
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		p, ok := c.prepared[name]
		if !ok {
			return nil, "", &failure{"NOSTMT", name}
		}
		write, rest = p.access == "WRITE", args
		step.Shape = p.access + " " + p.text
	}
	signature := fmt.Sprintf("r-%s-%s-%d", s.id, id, c.id)
	if word == "COMMIT" {
		return c.commit(signature, step)
	}
	item, data, _ := strings.Cut(rest, " ")
	if !write {
		s.group.mu.Lock()
		value, _ := s.read(item)
		step.Applied = s.lastApplied()
		s.group.mu.Unlock()
		for _, w := range c.writes {
			if w.Item == item {
				value = w.Data
			}
		}
		return []string{value}, signature, nil
	}
	if !s.IsPrimary() {
		return nil, "", &failure{"READONLY", string(s.id)}
	}
	if c.state == "T" {
		c.writes = append(c.writes, Entry{Item: item, Data: data, request: id})
		return nil, signature, nil
	}
	committed, ok := s.group.commit(s, []Entry{{Item: item, Data: data, request: id}})
	if !ok {
		return nil, "", &failure{}
	}
	step.Committed = writesOf(committed)
	return nil, signature, nil
}

func (c *lineConn) commit(signature string, step *audit.Step) ([]string, string, *failure) {
	open, writes := c.state == "T", c.writes
	c.endTx()
	if !open {
		return nil, "", &failure{"ABORTED", "nothing to commit"}
	}
	if len(writes) == 0 {
		return nil, signature, nil
	}
	committed, ok := c.server.group.commit(c.server, writes)
	if !ok {
		return nil, "", &failure{}
	}
	step.Committed = writesOf(committed)
	return nil, signature, nil
}

// endTx ends the open transaction, if there is one.
func (c *lineConn) endTx() { c.state, c.writes, c.tx = "I", nil, 0 }

// control executes a control statement and returns the status row.
func (c *lineConn) control(word, rest string) ([]string, string, *failure) {
	s := c.server
	term, _ := strconv.ParseInt(rest, 10, 64)
	s.set(func() {
		switch word {
		case "PAUSE":
			s.sealedTerm = max(s.sealedTerm, ident.Term(term))
		case "RESUME":
			s.sealedTerm = 0
		case "STEPDOWN":
			s.isPrimary = s.isPrimary && int64(s.term) >= term
		}
	})
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	role := "replica"
	if s.isPrimary {
		role = "primary"
	}
	p := s.received()
	row := fmt.Sprintf("%s %d %d.%d %d %d %d %d", role, s.term, p.Term, p.Position, s.sealedTerm, s.lag.Milliseconds(), len(s.slots), s.conns)
	return []string{row}, "-", nil
}
