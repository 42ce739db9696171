package endpt

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Ready waits until the endpoint serves: it is the primary, or a replica that
// has received its primary's log.
func (s *Server) Ready(ctx context.Context) error {
	for {
		s.node.mu.Lock()
		err, changed := s.node.checkServing(), s.node.changed
		s.node.mu.Unlock()
		if err == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		case <-s.tasks.Context().Done():
			return errors.Wrap(err, "endpoint ended")
		}
	}
}

// StartGroup starts the endpoints of one group on free loopback ports and waits
// until all of them serve. The first name is the first primary; base holds the
// other settings. The servers are returned in the order of the names.
func StartGroup(ctx context.Context, base Config, names ...ident.Endpoint) ([]*Server, error) {
	listeners, peers, err := listenAll(ctx, names)
	if err != nil {
		return nil, err
	}
	var out []*Server
	for i, n := range names {
		c := base
		c.Name, c.Listener, c.Peers, c.Primary = n, listeners[i], peers, names[0]
		s, err := Start(ctx, c)
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrapf(err, "start endpoint %s", n), closeAll(out))
		}
		out = append(out, s)
	}
	for _, s := range out {
		if err := s.Ready(ctx); err != nil {
			return nil, errors.CombineErrors(errors.Wrapf(err, "await endpoint %s", s.config.Name), closeAll(out))
		}
	}
	return out, nil
}

func listenAll(ctx context.Context, names []ident.Endpoint) ([]net.Listener, map[ident.Endpoint]string, error) {
	var lc net.ListenConfig
	var out []net.Listener
	peers := make(map[ident.Endpoint]string, len(names))
	for _, n := range names {
		l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen for endpoint %s", n)
		}
		out = append(out, l)
		peers[n] = l.Addr().String()
	}
	return out, peers, nil
}

func closeAll(servers []*Server) error {
	var all error
	for _, s := range servers {
		all = errors.CombineErrors(all, s.Close())
	}
	return all
}
