package emul

import (
	"bufio"
	"context"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/audit"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Reply is the answer to one request.
type Reply struct {
	Rows []string
	// Signature is set on success. It is "-" if the proxy answered by itself.
	Signature string
	// Code and Detail are set on failure.
	Code   string
	Detail string
	// State is the session's transaction state: I, T or E. It is empty if the
	// connection was lost before the answer was complete.
	State string
}

// OK reports whether the answer is a success.
func (r Reply) OK() bool { return r.Code == "" }

// Indeterminate reports whether the statement may or may not have run.
func (r Reply) Indeterminate() bool {
	return r.Code == "INDOUBT" || r.Code == "TIMEOUT" || r.Code == "FAILED"
}

// PromisesNotRun reports whether the error guarantees that the statement had no
// effect.
func (r Reply) PromisesNotRun() bool { return audit.IsPromise(r.Code) }

// Client is a caller with one session over one connection.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Login opens a session for a route. The client is nil only if the connection
// failed. The caller must close it even after an error.
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
// error, which is a ClosedError, the effect of the line is unknown.
func (c *Client) exchange(ctx context.Context, line string) (Reply, error) {
	end, _ := ctx.Deadline() // the zero time means no deadline
	_ = c.conn.SetDeadline(end)
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return Reply{}, newClosedError(time.Time{}, time.Now(), false, errors.Wrap(err, "send"))
	}
	sent := time.Now()
	var r Reply
	answered := false
	for {
		got, err := c.in.ReadString('\n')
		if err != nil {
			return r, newClosedError(sent, time.Now(), answered || got != "", errors.Wrap(err, "read"))
		}
		answered = true
		word, rest, _ := strings.Cut(strings.TrimRight(got, "\r\n"), " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "DONE":
			r.Signature = rest
		case "ERROR":
			r.Code, r.Detail, _ = strings.Cut(rest, " ")
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}
