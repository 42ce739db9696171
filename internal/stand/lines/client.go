package lines

import (
	"bufio"
	"context"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Reply is the answer to one line.
type Reply struct {
	Rows []string
	// Code and Detail are those of an error; Code is empty for a success.
	Code   string
	Detail string
	// State is what the session is in: I, T or E.
	State string
}

// OK reports whether the answer is a success.
func (r Reply) OK() bool { return r.Code == "" }

// Client is a caller: one session, over one connection.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Login opens a session for a route.
func Login(ctx context.Context, dial Dial, address, route, key string) (*Client, Reply, error) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, Reply{}, errors.Wrap(err, "connect")
	}
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	r, err := c.exchange(ctx, "STARTUP "+route+" "+key)
	return c, r, err
}

// Query runs one statement.
func (c *Client) Query(ctx context.Context, id, text string) (Reply, error) {
	return c.exchange(ctx, "QUERY "+id+" "+text)
}

// Close ends the session.
func (c *Client) Close() error { return c.conn.Close() }

// exchange sends a line and reads until the session is ready again. After an
// error nothing is known of what the line has done.
func (c *Client) exchange(ctx context.Context, line string) (Reply, error) {
	if end, ok := ctx.Deadline(); ok {
		_ = c.conn.SetDeadline(end)
	} else {
		_ = c.conn.SetDeadline(time.Time{})
	}
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return Reply{}, errors.Wrap(err, "send")
	}
	var r Reply
	for {
		got, err := c.in.ReadString('\n')
		if err != nil {
			return r, errors.Wrap(err, "read")
		}
		word, rest, _ := strings.Cut(strings.TrimRight(got, "\r\n"), " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "DONE":
			r.Detail = rest
		case "ERROR":
			r.Code, r.Detail, _ = strings.Cut(rest, " ")
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}
