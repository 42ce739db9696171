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

// lineConn is one connection to a server.
type lineConn struct {
	server   *Server
	conn     net.Conn
	in       *bufio.Reader
	account  string
	state    string // I, T or E
	plain    bool   // the transaction needs the lead
	writes   []Entry
	values   map[string]string
	prepared map[string]bool
}

// failure is an error code with its text.
type failure struct{ code, text string }

// Serve serves one connection until it ends.
func (s *Server) Serve(conn net.Conn) {
	c := &lineConn{server: s, conn: conn, in: bufio.NewReader(conn), state: "I", values: map[string]string{}, prepared: map[string]bool{}}
	defer func() { _ = conn.Close() }()
	if !c.start() {
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

// start takes the first line. It reports whether the connection goes on.
func (c *lineConn) start() bool {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return false
	}
	f := strings.Fields(line)
	s := c.server
	if s.get(func() bool { return s.down }) {
		return false
	}
	c.awaitLight()
	if len(f) < 3 || f[1] != string(s.group.config.Name) || len(f) > 3 && f[3] != string(s.id) {
		c.send("ERROR WRONGHOST " + string(s.id))
		return false
	}
	c.account = f[2]
	full := false
	s.set(func() {
		full = s.conns >= s.group.config.MaxConns
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

// awaitLight waits while the server answers nothing.
func (c *lineConn) awaitLight() {
	s := c.server
	for {
		s.group.mu.Lock()
		dark, changed := s.dark, s.group.changed
		s.group.mu.Unlock()
		if !dark {
			return
		}
		<-changed
	}
}

// query runs one query and answers it. It reports whether the connection goes
// on.
func (c *lineConn) query(line string) bool {
	_, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	c.awaitLight()
	rows, receipt, f := c.run(id, text)
	if f == nil && c.loses(text) {
		return false
	}
	for _, r := range rows {
		c.send("ROW " + r)
	}
	switch {
	case f == nil:
		c.send("DONE " + receipt)
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

func (c *lineConn) loses(text string) bool {
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
	m := c.server.applied()
	c.server.group.mu.Unlock()
	c.send(fmt.Sprintf("READY %s %d.%d", c.state, m.Term, m.Position))
}

func (c *lineConn) send(line string) { _, _ = c.conn.Write([]byte(line + "\r\n")) }

// run carries out one statement.
func (c *lineConn) run(id, text string) (rows []string, receipt string, f *failure) {
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if !c.reached(position) {
			return nil, "", &failure{"LAGGING", string(c.server.id)}
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "", &failure{"MALFORMED", "failed transaction"}
	}
	if c.state == "T" && c.plain && !c.server.IsPrimary() {
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
		c.values[name] = value
	case "PREPARE":
		f := strings.Fields(rest)
		c.prepared[f[0]] = f[1] == "WRITE"
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]bool{}
	default:
		return c.order(word, rest)
	}
	return nil, "-", nil
}

func (c *lineConn) reached(position string) bool {
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
	c.state, c.plain, c.writes = "T", rest == "", nil
	return nil, "-", nil
}

// work carries out a statement that takes a slot.
func (c *lineConn) work(id, text, word, rest string) ([]string, string, *failure) {
	s := c.server
	s.slots <- struct{}{}
	time.Sleep(s.group.config.Work)
	defer func() { <-s.slots }()
	s.set(func() { s.ran = append(s.ran, Run{ID: id, Text: text, Account: c.account}) })
	write := word == "WRITE"
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		w, ok := c.prepared[name]
		if !ok {
			return nil, "", &failure{"NOSTMT", name}
		}
		write, rest = w, args
	}
	receipt := "r-" + string(s.id) + "-" + id
	if word == "COMMIT" {
		return c.commit(receipt)
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
		return []string{value}, receipt, nil
	}
	if !s.IsPrimary() {
		return nil, "", &failure{"READONLY", string(s.id)}
	}
	if c.state == "T" {
		c.writes = append(c.writes, Entry{Item: item, Data: data})
		return nil, receipt, nil
	}
	if !s.group.commit(s, []Entry{{Item: item, Data: data}}) {
		return nil, "", &failure{}
	}
	return nil, receipt, nil
}

func (c *lineConn) commit(receipt string) ([]string, string, *failure) {
	if c.state != "T" {
		c.state, c.writes = "I", nil
		return nil, "", &failure{"ABORTED", "nothing to commit"}
	}
	writes := c.writes
	c.state, c.writes = "I", nil
	if len(writes) > 0 && !c.server.group.commit(c.server, writes) {
		return nil, "", &failure{}
	}
	return nil, receipt, nil
}

// order carries out a control statement and returns the status row.
func (c *lineConn) order(word, rest string) ([]string, string, *failure) {
	s := c.server
	term, _ := strconv.ParseInt(rest, 10, 64)
	s.set(func() {
		switch word {
		case "PAUSE":
			s.held = max(s.held, ident.Term(term))
		case "RESUME":
			s.held = 0
		case "STEPDOWN":
			s.leads = s.leads && int64(s.term) >= term
		}
	})
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	role := "replica"
	if s.leads {
		role = "primary"
	}
	m := s.received()
	row := fmt.Sprintf("%s %d %d.%d %d %d %d %d", role, s.term, m.Term, m.Position, s.held, s.lag.Milliseconds(), len(s.slots), s.conns)
	return []string{row}, "-", nil
}
