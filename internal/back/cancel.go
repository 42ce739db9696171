package back

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Cancel identifies the running statement of an endpoint connection.
type Cancel struct {
	address string
	pid     uint32
	secret  []byte
}

// Send requests the cancellation over a connection of its own. It returns once
// the endpoint has closed that connection, and so has processed the request:
// the cancel can't hit a later statement.
func (c Cancel) Send(ctx context.Context) error {
	var d net.Dialer
	socket, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Wrap(err, "dial for cancel")
	}
	defer func() { _ = socket.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = socket.SetDeadline(deadline)
	}
	buf, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel")
	}
	if _, err := socket.Write(buf); err != nil {
		return errors.Wrap(err, "send cancel")
	}
	_, _ = socket.Read(make([]byte, 1))
	return nil
}
