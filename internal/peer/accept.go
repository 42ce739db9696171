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

// accept accepts a connection from a dialer and runs its link until it ends.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	if !m.addLink() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	defer m.activeLinks.Done()
	select {
	case m.handshakes <- struct{}{}:
	default:
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	l, err := m.acceptLink(w, r)
	<-m.handshakes
	if err == nil {
		_ = m.runLink(l)
	}
}

func (m *Mesh) acceptLink(w http.ResponseWriter, r *http.Request) (*link, error) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	c.SetReadLimit(maxHandshake)
	ctx, cancel := context.WithTimeout(m.tasks.Context(), m.options.handshakeTimeout)
	defer cancel()
	hello, err := handshakeAsListener(ctx, c, m.newHello(), m.secret)
	if err == nil && hello.Instance >= m.self.Instance && !hello.Unordered {
		err = errors.Wrapf(ErrRefused, "instance %q must wait to be dialled", hello.Instance)
	}
	if err != nil {
		_ = c.CloseNow()
		m.recordRefusal(hello.Instance, err)
		return nil, errors.Wrap(err, "handshake with dialer")
	}
	return m.newLink(hello, hello.Instance, c), nil
}
