package peer

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// Router passes each received message to the handler registered for its type.
// Looking up a handler takes no lock, so that peers do not wait for each other.
type Router struct {
	handlers  [kinds]atomic.Pointer[handlerFunc]
	unhandled *metrics.Counter
}

type handlerFunc func(from ident.Process, message Message, now time.Time)

// NewRouter returns a router without handlers.
func NewRouter() *Router {
	return &Router{unhandled: metrics.GetOrCreateCounter("marjoram_peer_unhandled_total")}
}

// Handle registers f for messages of type M and replaces an earlier handler. f
// is called from one goroutine per peer and must not block.
func Handle[M Message](r *Router, f func(from ident.Process, message M, now time.Time)) {
	var zero M
	h := handlerFunc(func(from ident.Process, message Message, now time.Time) {
		f(from, message.(M), now)
	})
	r.handlers[KindOf(zero)].Store(&h)
}

// Receive implements Handler. Messages without a handler are counted and
// dropped.
func (r *Router) Receive(from ident.Process, message Message, now time.Time) {
	h := r.handlers[KindOf(message)].Load()
	if h == nil {
		r.unhandled.Inc()
		return
	}
	(*h)(from, message, now)
}
