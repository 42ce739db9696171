// Package oper is what the operators' commands do: change the document of an
// environment by compare-and-set, wait until it is in force, and collect what
// the instances tell. It does no output and keeps nothing.
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
	changeBytes = 16
	// editTries bounds how often an edit is applied anew after a lost race.
	editTries = 10
)

// ConflictError reports a lost race. It names the head that won, so that the
// operator can look at it before another attempt.
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

// UnknownError reports that the platform did not tell in time whether a
// change was accepted. The history shows it under its identifier, if it was.
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

// Editor changes documents in the name of an author.
type Editor struct {
	Documents store.Documents
	Author    string
	// Announce tells the instances of a version ahead of each try to write
	// it; nil tells nobody.
	Announce func(ctx context.Context, env ident.Environment, version ident.Version) error
}

// acceptTimeout bounds one try to write, so that it has ended well before the
// announcement runs out.
const acceptTimeout = 10 * time.Second

// Current is the document in force in an environment.
type Current struct {
	Head     store.Head // zero before the first version
	Document *envdoc.Document
}

// Current reads the document in force. Before the first version the document
// is nil.
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

// Put accepts text as the version after base. It repeats the same change
// until the outcome is known or ctx ends.
func (e *Editor) Put(ctx context.Context, env ident.Environment, base ident.Version, text []byte, now time.Time) (store.Head, error) {
	wanted := store.Head{Change: NewChange(), Author: e.Author, At: now.UTC()}
	sent := false // whether an earlier try may have taken effect
	for {
		head, err := e.try(ctx, env, base, wanted, text)
		switch {
		case err == nil:
			return head, nil
		case errors.Is(err, store.ErrConflict):
			return store.Head{}, &ConflictError{env, base, head}
		}
		sent = sent || (errors.Is(err, store.ErrUnavailable) && !errors.Is(err, errNotSent))
		if errors.Is(err, store.ErrUnavailable) && ctx.Err() == nil {
			continue
		}
		if sent {
			return store.Head{}, &UnknownError{env, wanted.Change, err}
		}
		return store.Head{}, err
	}
}

// errNotSent marks a try that ended before anything was written.
var errNotSent = errors.New("nothing was written")

// try announces the version and tries to write it once.
func (e *Editor) try(ctx context.Context, env ident.Environment, base ident.Version, wanted store.Head, text []byte) (store.Head, error) {
	if e.Announce != nil {
		if err := e.Announce(ctx, env, base+1); err != nil {
			return store.Head{}, fmt.Errorf("announce %s version %d: %w: %w", env, base+1, errNotSent, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return e.Documents.Accept(ctx, env, base, wanted, text)
}

// Edit applies change to the document in force and accepts the result. When
// another author is first, it applies change to that author's document.
func (e *Editor) Edit(ctx context.Context, env ident.Environment, now time.Time, change func(*envdoc.Document) (*envdoc.Document, error)) (store.Head, error) {
	var conflict *ConflictError
	for range editTries {
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
	fresh, err := change(current.Document)
	if err != nil {
		return store.Head{}, err
	}
	text, err := envdoc.Marshal(fresh)
	if err != nil {
		return store.Head{}, err
	}
	return e.Put(ctx, env, current.Head.Version, text, now)
}

// NewChange returns a random change identifier.
func NewChange() ident.Change {
	var b [changeBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return ident.Change(hex.EncodeToString(b[:]))
}
