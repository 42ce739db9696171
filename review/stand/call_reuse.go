package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	// lightWork and heavyWork are the run times of a read, both within work_ms of
	// the kind stock-view: 40 ms on average, 300 ms at most.
	lightWork = 40 * time.Millisecond
	heavyWork = 290 * time.Millisecond
	// slowFactor is how much slower a slow server is.
	slowFactor = 5
	// killDelay is how long after the slow read the instance is killed.
	killDelay = 50 * time.Millisecond
	// overlap is how long before the end of the slow read the next client sends
	// its second read.
	overlap = 120 * time.Millisecond
	// linkTime is how long the restarted instance has run when the next client
	// connects.
	linkTime = 400 * time.Millisecond
)

// playAnswerAfterRestart kills the instance of a client whose read runs at a slow
// server, restarts it and lets a client of another tenant read there.
func playAnswerAfterRestart(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	s := d.service
	slow := "" // the slow server
	s.work = func(server, text string) time.Duration {
		work := lightWork
		if strings.Contains(text, "heavy") {
			work = heavyWork
		}
		if server == slow {
			work *= slowFactor
		}
		return work
	}
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	d.seed("ledger-heavy-1", "balance of tenant-1", "ledger-heavy-2", "balance of tenant-2", "first-1", "x", "first-2", "y")
	at := d.instances[1]
	one, err := connect(d.record, "one", at.front(), "view", "key-1")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	one.query("BEGIN READ")
	if a := one.query("READ first-1"); !a.ok() {
		return nil, fmt.Errorf("%w: the first read failed: %s", errNotRun, a)
	}
	began := time.Now()
	text := "READ ledger-heavy-1"
	duration := heavyWork
	if trouble {
		all := s.ran()
		s.mu.Lock()
		slow = all[len(all)-1].server
		s.mu.Unlock()
		duration *= slowFactor
		d.record.note("server %s turns slow, by a factor of %d", slow, slowFactor)
	}
	id := one.send(text)
	if trouble {
		time.Sleep(killDelay)
		d.kill(at)
		time.Sleep(restartDelay)
		if err := d.start(at); err != nil {
			return nil, err
		}
		if err := d.awaitReady(ctx, at); err != nil {
			return nil, err
		}
	}
	results := []answer{one.receive(id, text)}
	time.Sleep(linkTime)
	two, err := connect(d.record, "two", at.front(), "view", "key-2")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	two.query("BEGIN READ")
	results = append(results, two.query("READ first-2"))
	if trouble {
		time.Sleep(time.Until(began.Add(duration - overlap)))
	}
	results = append(results, two.query("READ ledger-heavy-2"))
	time.Sleep(2 * time.Second)
	return checkReceipts(s.ran(), results), nil
}

// seed writes items to the log of the service, as an earlier load would have.
func (d *deployment) seed(pairs ...string) {
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(pairs); i += 2 {
		s.log = append(s.log, entry{item: pairs[i], data: pairs[i+1], at: time.Now().Add(-time.Second)})
	}
}

// checkReceipts returns the answers whose receipt or rows are not those of the
// server's run of that statement.
func checkReceipts(ran []execution, answers []answer) []string {
	var out []string
	for _, a := range answers {
		if !a.ok() {
			continue
		}
		if e, ok := runOf(ran, a.receipt); !ok || e.id != a.id {
			out = append(out, fmt.Sprintf("MIXED: %s %q was answered with rows %q and receipt %s, which a server gave for %s %q of account %s",
				a.id, a.text, a.rows, a.receipt, e.id, e.text, e.account))
		}
	}
	return out
}

// runOf returns the execution that a receipt belongs to.
func runOf(ran []execution, receipt string) (execution, bool) {
	for _, e := range ran {
		if e.receipt == receipt {
			return e, true
		}
	}
	return execution{}, false
}
