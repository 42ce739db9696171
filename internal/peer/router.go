package peer

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Router hands each received message to the handler that is registered for
// its type. Reading takes no lock, so that peers do not wait for each other.
type Router struct {
	handlers  [kinds]atomic.Pointer[handlerFunc]
	unhandled *metrics.Counter
}

type handlerFunc func(from ident.Instance, message Message, now time.Time)

// NewRouter returns a router without handlers.
func NewRouter() *Router {
	return &Router{unhandled: metrics.GetOrCreateCounter("marjoram_peer_unhandled_total")}
}

// Handle registers f for the messages of type M, in place of an earlier one.
// The function is called from one goroutine for each peer and must not block.
func Handle[M Message](r *Router, f func(from ident.Instance, message M, now time.Time)) {
	var zero M
	h := handlerFunc(func(from ident.Instance, message Message, now time.Time) {
		f(from, message.(M), now)
	})
	r.handlers[KindOf(zero)].Store(&h)
}

// Receive implements Handler. A message without a handler is counted.
func (r *Router) Receive(from ident.Instance, message Message, now time.Time) {
	h := r.handlers[KindOf(message)].Load()
	if h == nil {
		r.unhandled.Inc()
		return
	}
	(*h)(from, message, now)
}
