package back

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// controlTimeout bounds a control call whose context has no deadline.
const controlTimeout = time.Second

// Control calls the control functions of one endpoint on a dedicated
// connection, which it opens on demand. It implements group.Server.
type Control struct {
	endpoint envdoc.Endpoint
	creds    Credentials

	mu   sync.Mutex
	conn *Conn
	used time.Time
}

// NewControl returns a Control for endpoint, without opening its connection.
func NewControl(endpoint envdoc.Endpoint, creds Credentials) *Control {
	return &Control{endpoint: endpoint, creds: creds}
}

// Status implements group.Server.
func (c *Control) Status(ctx context.Context) (group.Status, error) {
	return c.status(ctx, "SELECT * FROM "+group.FnStatus)
}

// Seal implements group.Server.
func (c *Control) Seal(ctx context.Context, term ident.Term) (group.Status, error) {
	return c.status(ctx, "SELECT * FROM "+group.FnSeal+"("+strconv.FormatInt(int64(term), 10)+")")
}

// Promote implements group.Server.
func (c *Control) Promote(ctx context.Context, term ident.Term) (group.Status, error) {
	return c.status(ctx, "SELECT * FROM "+group.FnPromote+"("+strconv.FormatInt(int64(term), 10)+")")
}

// Follow implements group.Server.
func (c *Control) Follow(ctx context.Context, term ident.Term, primary string) error {
	text := appendLiteral([]byte("SELECT "+group.FnFollow+"("+strconv.FormatInt(int64(term), 10)+", "), primary)
	_, err := c.query(ctx, string(append(text, ')')))
	return err
}

// CloseIdle closes the connection if it was last used before the given time.
func (c *Control) CloseIdle(before time.Time) {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	if c.conn != nil && c.used.Before(before) {
		c.drop()
	}
}

// Close closes the connection.
func (c *Control) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
	return nil
}

func (c *Control) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *Control) status(ctx context.Context, sql string) (group.Status, error) {
	rows, err := c.query(ctx, sql)
	if err != nil {
		return group.Status{}, err
	}
	if len(rows) != 1 {
		return group.Status{}, errors.Wrapf(errProtocol, "%d status rows", len(rows))
	}
	return readStatus(rows[0])
}

// query runs one query and returns its rows.
func (c *Control) query(ctx context.Context, sql string) ([]row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	var out rowSink
	result, err := c.conn.Run(&Batch{Simple: &stmt.Text{SQL: sql}}, &Preconditions{}, &out, deadline)
	if err != nil {
		c.drop()
		return nil, errors.Wrapf(err, "control call at %s", c.endpoint.Name)
	}
	if result.BatchError != nil {
		return nil, controlError(result.BatchError)
	}
	return out.rows, nil
}

func (c *Control) connect(ctx context.Context) error {
	c.used = time.Now()
	if c.conn != nil && c.conn.Alive() {
		return nil
	}
	c.drop()
	conn, err := Dial(ctx, c.endpoint.Name, c.endpoint.Address, c.creds)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

func controlError(e *ServerError) error {
	if e.Code == group.CodeSealed || e.Code == group.CodeNotPrimary {
		return errors.Mark(errors.Wrap(e, "refused"), group.ErrSealed)
	}
	return errors.Wrap(e, "control call")
}

type row [][]byte

// rowSink collects the rows of an answer.
type rowSink struct{ rows []row }

// Relay implements Sink.
func (s *rowSink) Relay(kind byte, body []byte) error {
	if kind != 'D' {
		return nil
	}
	var m pgproto3.DataRow
	if err := m.Decode(append([]byte(nil), body...)); err != nil {
		return errors.Wrap(err, "decode row")
	}
	s.rows = append(s.rows, m.Values)
	return nil
}

const statusColumns = 8

// readStatus decodes the columns documented at group.FnStatus.
func readStatus(r row) (group.Status, error) {
	if len(r) < statusColumns {
		return group.Status{}, errors.Wrapf(errProtocol, "status row has %d columns", len(r))
	}
	var n [statusColumns]int64
	for i := range statusColumns {
		if i == 1 {
			continue
		}
		v, err := strconv.ParseInt(string(r[i]), 10, 64)
		if err != nil {
			return group.Status{}, errors.Wrap(err, "read status")
		}
		n[i] = v
	}
	return group.Status{
		Term:         ident.Term(n[0]),
		Role:         group.Role(r[1]),
		Last:         ident.LogPosition{Term: ident.Term(n[2]), Position: ident.Position(n[3])},
		Confirmed:    ident.Position(n[4]),
		DataAge:      time.Duration(n[5]) * time.Millisecond,
		PrimaryHeard: time.Duration(n[6]) * time.Millisecond,
		Sealed:       ident.Term(n[7]),
	}, nil
}
