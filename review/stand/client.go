package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 8 * time.Second

// lastStatement numbers the statements of all clients.
var lastStatement atomic.Uint64

// answer is what a client received for one statement.
type answer struct {
	id, text string
	rows     []string
	receipt  string // set on success
	failure  string // code and text of an error
	state    string
	lost     bool // the connection ended before the answer was complete
}

func (a answer) ok() bool { return a.receipt != "" }

func (a answer) String() string {
	switch {
	case a.lost:
		return "no answer"
	case a.failure != "":
		return "ERROR " + a.failure + ", READY " + a.state
	}
	return fmt.Sprintf("rows %q, DONE %s, READY %s", a.rows, a.receipt, a.state)
}

// client is a caller with one session.
type client struct {
	name   string
	conn   net.Conn
	in     *bufio.Reader
	record *record
}

// connect opens a session for a database with a key.
func connect(r *record, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, in: bufio.NewReader(conn), record: r}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err = conn.Write([]byte("STARTUP " + database + " " + key + "\r\n"))
	if err == nil {
		var line string
		if line, err = readLine(c.in); err == nil && !strings.HasPrefix(line, "READY ") {
			err = fmt.Errorf("login of %s: %s", name, line)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	r.note("client %s: session for %s at %s", name, database, address)
	return c, nil
}

// query sends one statement and waits for its answer.
func (c *client) query(text string) answer {
	id := c.send(text)
	return c.receive(id, text)
}

// send sends one statement and returns its ID.
func (c *client) send(text string) string {
	id := fmt.Sprintf("%016x", 0x5c0e000000000000+lastStatement.Add(1))
	c.record.note("client %s sends %s %q", c.name, id, text)
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, _ = c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n"))
	return id
}

// receive waits for the answer to a statement.
func (c *client) receive(id, text string) answer {
	a := answer{id: id, text: text}
	for {
		line, err := readLine(c.in)
		if err != nil {
			a.lost, a.receipt = true, ""
			break
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.receipt = rest
		case "ERROR":
			a.failure = rest
		}
		if word == "READY" {
			a.state, _, _ = strings.Cut(rest, " ")
			break
		}
	}
	c.record.note("client %s gets for %s %q: %s", c.name, id, text, a)
	return a
}
