// Package oper implements the operators' commands: changing the document of an
// environment by compare-and-set, waiting until it is in force, and collecting
// the state of the instances. It produces no output and keeps no state.
package oper

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/store"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	changeIDBytes = 16
	// editAttempts limits how often an edit is reapplied after a conflict.
	editAttempts = 10
)

// ConflictError reports that another author changed the document first. It
// contains the winner's head, so that the operator can look at it before
// another attempt.
type ConflictError struct {
	Environment ident.Environment
	Base        ident.Version
	Winner      store.Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s changed since version %d: version %d was accepted from %s at %s",
		e.Environment, e.Base, e.Winner.Version, e.Winner.Author, e.Winner.At.Format(time.RFC3339))
}

// UnknownError reports that the platform did not reply in time whether it
// accepted a change. If it did, the history shows the change under its
// identifier.
type UnknownError struct {
	Environment ident.Environment
	Change      ident.Change
	cause       error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown whether %s accepted change %s; look for it in the history: %v", e.Environment, e.Change, e.cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.cause }

// Editor changes documents on behalf of an author.
type Editor struct {
	Documents store.Documents
	Author    string
	// Announce announces a version to the instances before each attempt to
	// write it. If it is nil, nothing is announced.
	Announce func(ctx context.Context, env ident.Environment, version ident.Version) error
}

// acceptTimeout limits one attempt to write, so that it ends well before the
// announcement expires.
const acceptTimeout = 10 * time.Second

// Current is the document in force in an environment.
type Current struct {
	Head     store.Head // zero before the first version
	Document *envdoc.Document
}

// Current returns the document in force. Before the first version, Document is
// nil.
func (e *Editor) Current(ctx context.Context, env ident.Environment) (Current, error) {
	head, err := e.Documents.Head(ctx, env)
	if errors.Is(err, store.ErrNotFound) {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, err
	}
	text, err := e.Documents.Text(ctx, env, head.Version)
	if err != nil {
		return Current{}, err
	}
	d, err := envdoc.Parse(text)
	return Current{head, d}, errors.Wrapf(err, "parse %s version %d", env, head.Version)
}

// Put stores text as the version after base. It repeats the same change until
// the outcome is known or ctx ends. It returns a ConflictError if another
// author was first and an UnknownError if the outcome is not known when ctx
// ends.
func (e *Editor) Put(ctx context.Context, env ident.Environment, base ident.Version, text []byte, now time.Time) (store.Head, error) {
	next := store.Head{Change: NewChange(), Author: e.Author, At: now.UTC()}
	maybeWritten := false // whether an earlier attempt may have taken effect
	for {
		head, err := e.announceAndAccept(ctx, env, base, next, text)
		switch {
		case err == nil:
			return head, nil
		case errors.Is(err, store.ErrConflict):
			return store.Head{}, &ConflictError{env, base, head}
		}
		maybeWritten = maybeWritten || (errors.Is(err, store.ErrUnavailable) && !errors.Is(err, errNotSent))
		if errors.Is(err, store.ErrUnavailable) && ctx.Err() == nil {
			continue
		}
		if maybeWritten {
			return store.Head{}, &UnknownError{env, next.Change, err}
		}
		return store.Head{}, err
	}
}

// errNotSent reports an attempt that ended before anything was written.
var errNotSent = errors.New("nothing was written")

// announceAndAccept announces the version and then attempts to write it once.
func (e *Editor) announceAndAccept(ctx context.Context, env ident.Environment, base ident.Version, next store.Head, text []byte) (store.Head, error) {
	if e.Announce != nil {
		if err := e.Announce(ctx, env, base+1); err != nil {
			return store.Head{}, fmt.Errorf("announce %s version %d: %w: %w", env, base+1, errNotSent, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return e.Documents.Accept(ctx, env, base, next, text)
}

// Edit applies change to the document in force and stores the result. If
// another author changes the document first, Edit applies change again to the
// new document.
func (e *Editor) Edit(ctx context.Context, env ident.Environment, now time.Time, change func(*envdoc.Document) (*envdoc.Document, error)) (store.Head, error) {
	var conflict *ConflictError
	for range editAttempts {
		head, err := e.editOnce(ctx, env, now, change)
		if !errors.As(err, &conflict) {
			return head, err
		}
	}
	return store.Head{}, conflict
}

func (e *Editor) editOnce(ctx context.Context, env ident.Environment, now time.Time, change func(*envdoc.Document) (*envdoc.Document, error)) (store.Head, error) {
	current, err := e.Current(ctx, env)
	if err != nil {
		return store.Head{}, err
	}
	if current.Document == nil {
		return store.Head{}, errors.Wrapf(store.ErrNotFound, "document of %s", env)
	}
	updated, err := change(current.Document)
	if err != nil {
		return store.Head{}, err
	}
	text, err := envdoc.Marshal(updated)
	if err != nil {
		return store.Head{}, err
	}
	return e.Put(ctx, env, current.Head.Version, text, now)
}

// NewChange returns a random change identifier.
func NewChange() ident.Change {
	var b [changeIDBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return ident.Change(hex.EncodeToString(b[:]))
}
