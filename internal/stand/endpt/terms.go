package endpt

import (
	"context"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

func sealedError(requested, sealed ident.Term) error {
	return fail(group.CodeSealed, "term %d is rejected: term %d is sealed", requested, sealed)
}

// seal makes the node reject statements and replication of terms below term
// from now on.
func (n *node) seal(term ident.Term, now time.Time) (group.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term <= n.sealed {
		return group.Status{}, sealedError(term, n.sealed)
	}
	if !n.voting {
		return group.Status{}, fail(group.CodeSealed, "endpoint %s has not caught up since its start", n.config.Name)
	}
	n.sealed = term
	n.stopFollowing()
	n.notifyChanged()
	return n.statusLocked(now), nil
}

// promote makes the node the primary of the term that it sealed. A repeat of a
// successful promotion returns the status.
func (n *node) promote(term ident.Term, now time.Time) (group.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case term != n.sealed || !n.voting:
		return group.Status{}, sealedError(term, n.sealed)
	case n.term == term && n.role == group.PrimaryRole:
		return n.statusLocked(now), nil
	case n.term == term:
		return group.Status{}, fail(group.CodeSealed, "endpoint %s follows another primary of term %d", n.config.Name, term)
	}
	n.becomePrimary(term, now)
	return n.statusLocked(now), nil
}

// follow makes the node a replica of the term's primary at address. The
// function start opens the stream and returns the function that stops it. A
// repeat has no effect.
func (n *node) follow(term ident.Term, address string, start func() context.CancelFunc) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term < n.sealed {
		return sealedError(term, n.sealed)
	}
	if n.term == term && n.role == group.PrimaryRole {
		return fail(group.CodeSealed, "endpoint %s is the primary of term %d", n.config.Name, term)
	}
	if n.term == term && n.source == address {
		return nil
	}
	n.stopFollowing()
	n.sealed, n.role, n.source = term, group.ReplicaRole, address
	if n.term != term {
		n.term, n.synced = term, false
	}
	n.confirmed = 0
	n.cancelStream = start()
	n.notifyChanged()
	return nil
}

// requirePosition checks that the applied log covers the position pos and
// that the data is not older than maxAge; zero allows any age.
func (n *node) requirePosition(pos ident.LogPosition, maxAge time.Duration, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, known := n.log.coveringPosition(pos)
	if !known || n.applied < p {
		return fail(group.CodeBehind, "endpoint %s is behind term %d position %d", n.config.Name, pos.Term, pos.Position)
	}
	if age := n.dataAge(now); maxAge > 0 && age > maxAge {
		return fail(group.CodeStale, "data of endpoint %s is %v old", n.config.Name, age)
	}
	return nil
}

// requirePrimary checks that the node is the unsealed primary of exactly this
// term.
func (n *node) requirePrimary(term ident.Term) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != group.PrimaryRole || n.term != term || n.sealed > n.term {
		return fail(group.CodeNotPrimary, "endpoint %s is not the primary of term %d", n.config.Name, term)
	}
	return nil
}

// recordRequest records a request identifier with the transaction. If it has
// been recorded already, recordRequest returns the position of that record and
// an error that holds the original outcome.
func (n *node) recordRequest(t *txn, request ident.Request, digest string) (ident.LogPosition, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkWritable(t); err != nil {
		return ident.LogPosition{}, err
	}
	old, ok := n.db.requests[request]
	switch {
	case ok && old.Digest != digest:
		return ident.LogPosition{}, fail(group.CodeMismatch, "request %s was recorded with another digest", request)
	case ok:
		f := fail(group.CodeRecorded, "request %s has already been recorded", request)
		f.detail = old.Tag
		return old.position, f
	}
	t.requests = append(t.requests, requestRecord{Request: request, Digest: digest})
	return ident.LogPosition{}, nil
}
