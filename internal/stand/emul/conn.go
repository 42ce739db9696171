package emul

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

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
	prepared        map[string]bool
}

// failure is an error answer. An empty code closes the connection instead.
type failure struct{ code, text string }

// Serve handles one connection until it closes.
func (s *Server) Serve(conn net.Conn) {
	c := &lineConn{server: s, conn: conn, in: bufio.NewReader(conn), state: "I", variables: map[string]string{}, prepared: map[string]bool{}}
	defer func() { _ = conn.Close() }()
	if !c.handshake() {
		return
	}
	defer s.set(func() {
		s.conns--
		delete(s.closers, c)
	})
	for {
		line, err := c.in.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "TERMINATE") {
			return
		}
		if !c.query(strings.TrimRight(line, "\r\n")) {
			return
		}
	}
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
	rows, signature, f := c.run(id, text)
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
func (c *lineConn) run(id, text string) (rows []string, signature string, f *failure) {
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if !c.hasApplied(position) {
			return nil, "", &failure{"LAGGING", string(c.server.id)}
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "", &failure{"MALFORMED", "failed transaction"}
	}
	if c.state == "T" && c.requiresPrimary && !c.server.IsPrimary() {
		return nil, "", &failure{"READONLY", string(c.server.id)}
	}
	switch word {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return c.work(id, text, word, rest)
	case "BEGIN":
		return c.begin(rest)
	case "ROLLBACK":
		c.state, c.writes = "I", nil
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.variables[name] = value
	case "PREPARE":
		f := strings.Fields(rest)
		c.prepared[f[0]] = f[1] == "WRITE"
	case "RESET":
		c.variables, c.prepared = map[string]string{}, map[string]bool{}
	default:
		return c.control(word, rest)
	}
	return nil, "-", nil
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
	c.state, c.requiresPrimary, c.writes = "T", rest == "", nil
	return nil, "-", nil
}

// work executes a statement that occupies a slot.
func (c *lineConn) work(id, text, word, rest string) ([]string, string, *failure) {
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
		w, ok := c.prepared[name]
		if !ok {
			return nil, "", &failure{"NOSTMT", name}
		}
		write, rest = w, args
	}
	signature := "r-" + string(s.id) + "-" + id
	if word == "COMMIT" {
		return c.commit(signature)
	}
	item, data, _ := strings.Cut(rest, " ")
	if !write {
		s.group.mu.Lock()
		value, _ := s.read(item)
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
		c.writes = append(c.writes, Entry{Item: item, Data: data})
		return nil, signature, nil
	}
	if !s.group.commit(s, []Entry{{Item: item, Data: data}}) {
		return nil, "", &failure{}
	}
	return nil, signature, nil
}

func (c *lineConn) commit(signature string) ([]string, string, *failure) {
	if c.state != "T" {
		c.state, c.writes = "I", nil
		return nil, "", &failure{"ABORTED", "nothing to commit"}
	}
	writes := c.writes
	c.state, c.writes = "I", nil
	if len(writes) > 0 && !c.server.group.commit(c.server, writes) {
		return nil, "", &failure{}
	}
	return nil, signature, nil
}

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
