package peer

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"k8s.io/klog/v2"
)

func newServer(m *Mesh) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(path, m.accept)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: m.options.handshakeTimeout,
		ErrorLog:          klog.NewStandardLogger("INFO"),
	}
}

func (m *Mesh) serve(context.Context) error {
	l := m.listener
	if m.options.serverTLS != nil {
		l = tls.NewListener(l, m.options.serverTLS)
	}
	err := m.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// accept takes one connection of a dialer and carries it until it ends.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	if !m.enter() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	defer m.active.Done()
	select {
	case m.admits <- struct{}{}:
	default:
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	l, err := m.admit(w, r)
	<-m.admits
	if err == nil {
		_ = m.carry(l)
	}
}

func (m *Mesh) admit(w http.ResponseWriter, r *http.Request) (*link, error) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	c.SetReadLimit(maxHandshake)
	ctx, cancel := context.WithTimeout(m.group.Context(), m.options.handshakeTimeout)
	defer cancel()
	hello, err := greetDialer(ctx, c, m.hello(), m.secret)
	if err == nil && hello.Instance >= m.self.Instance && !hello.Introduces {
		err = errors.Wrapf(ErrRefused, "%q is not the one to dial", hello.Instance)
	}
	if err != nil {
		_ = c.CloseNow()
		m.refuse(hello.Instance, err)
		return nil, errors.Wrap(err, "greet dialer")
	}
	return m.newLink(hello, c), nil
}
