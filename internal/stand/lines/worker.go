package lines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	// operationTries is how often an operation is tried at most.
	operationTries = 4
	// retryPause is the mean pause before an operation is tried again.
	retryPause = 100 * time.Millisecond
	// operationPause is the mean pause between two operations, idlePause that of the
	// sessions that are mostly idle.
	operationPause = 250 * time.Millisecond
	idlePause      = 12 * time.Second
	// idleShare is the inverse of the share of the workers that are mostly idle.
	idleShare = 4
	// reconnectShare is the inverse of the share of the operations after which a
	// session ends.
	reconnectShare = 12
	// sessionSettings is how many statements change a session at its start, and
	// settingShare the inverse of the share of the operations before which one does.
	sessionSettings = 4
	settingShare    = 8
)

// worker runs operations the way the users' callers do: transactions with pauses,
// roll-backs, callers that leave, session values and prepared names that collide with
// those of others, and operations that are tried again as a whole, through another
// instance, after a promise that nothing is kept.
type worker struct {
	load    *load
	random  *rand.Rand
	account Account
	idle    bool
	route   Route    // of the latest session
	session *session // nil while there is none
	sent    int      // statements of all operations, for data that is never the same
}

func (l *load) newWorker(account, n int) *worker {
	return &worker{
		load: l, account: l.config.account(account), idle: n%idleShare == 0,
		random: rand.New(rand.NewPCG(l.config.Seed^workerStream, uint64(account*1000+n))),
	}
}

// workerStream separates the random numbers of the workers from those of the other
// callers.
const workerStream = 0x776f726b

// run runs operations until ctx ends.
func (w *worker) run(ctx context.Context) {
	defer w.close()
	mean := operationPause
	if w.idle {
		mean = idlePause
	}
	for tasks.Pause(ctx, time.Duration(w.random.ExpFloat64()*float64(mean))) {
		w.operate(ctx)
		if w.random.IntN(reconnectShare) == 0 && !w.idle {
			w.close()
		}
	}
}

func (w *worker) close() {
	if w.session != nil {
		w.session.close()
		w.session = nil
	}
}

// operate runs one operation. It is tried again as a whole, in a new session like the
// one before, if a promise says that nothing of it is kept.
func (w *worker) operate(ctx context.Context) {
	if w.session != nil && w.random.IntN(settingShare) == 0 && !w.set(ctx, drawSetting(w.random)) {
		return
	}
	if w.session == nil && !w.loginAnew(ctx) {
		return
	}
	o, settings := drawOperation(w.random, w.session.prepared), w.session.settings
	for range operationTries {
		if !w.try(ctx, o) {
			return
		}
		w.close()
		pause := time.Duration(w.random.ExpFloat64() * float64(retryPause))
		if !tasks.Pause(ctx, pause) || !w.login(ctx, settings) {
			return
		}
	}
}

// loginAnew opens a session on any route and changes it a few times.
func (w *worker) loginAnew(ctx context.Context) bool {
	w.route = w.load.config.Mixed[w.random.IntN(len(w.load.config.Mixed))]
	var settings []string
	for range w.random.IntN(sessionSettings + 1) {
		settings = append(settings, drawSetting(w.random))
	}
	return w.login(ctx, settings)
}

// login opens a session through any instance and changes it by the statements.
func (w *worker) login(ctx context.Context, settings []string) bool {
	c := w.load.config
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	w.session = w.load.openSession(ctx, c.Fronts[w.random.IntN(len(c.Fronts))], w.route, w.account)
	if w.session == nil {
		return false
	}
	for _, text := range settings {
		if !w.set(ctx, text) {
			return false
		}
	}
	return true
}

// set changes the session. It is closed after an error.
func (w *worker) set(ctx context.Context, text string) bool {
	_, ok := w.query(ctx, text)
	if !ok {
		w.close()
	}
	return ok
}

// query runs a statement. It reports whether it succeeded. A lost connection ends the
// session.
func (w *worker) query(ctx context.Context, text string) (emul.Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, w.load.config.Timeout)
	defer cancel()
	r, err := w.session.query(ctx, text)
	if err != nil {
		w.close()
		return r, false
	}
	return r, r.OK()
}

// try runs an operation once. It reports whether a promise says that nothing of it is
// kept, so that it may be tried again.
func (w *worker) try(ctx context.Context, o operation) (again bool) {
	if o.begin != "" {
		if r, ok := w.query(ctx, o.begin); !ok {
			return r.PromisesNotRun()
		}
	}
	for _, s := range o.statements {
		if !tasks.Pause(ctx, s.pause) {
			return false
		}
		w.sent++
		data := fmt.Sprintf("%s-%d-%d", w.account.Name, w.session.info.ID, w.sent)
		if r, ok := w.query(ctx, s.text(data)); !ok {
			again = r.PromisesNotRun()
			if w.session != nil && w.session.inTx {
				w.query(ctx, "ROLLBACK")
			}
			return again
		}
	}
	switch {
	case o.begin == "":
		return false
	case o.ending == leaves:
		w.close()
		return false
	case o.ending == rollsBack:
		w.query(ctx, "ROLLBACK")
		return false
	}
	r, ok := w.query(ctx, "COMMIT")
	return !ok && r.PromisesNotRun()
}
