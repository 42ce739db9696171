package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	documentKind  = "documents"
	headSort      = "head"
	versionPrefix = "version#"
)

// ErrDamaged reports an object whose content does not match its digest.
var ErrDamaged = errors.New("content does not match its digest")

// documents stores one row for the head of an environment, one row for each
// version, and the texts as objects.
type documents struct {
	table   table
	objects objects
}

// Head implements Documents.
func (d *documents) Head(ctx context.Context, env ident.Environment) (Head, error) {
	r, err := d.table.get(ctx, "Head", partitionFor(env, documentKind), headSort)
	if err != nil {
		return Head{}, errors.Wrapf(err, "read head of %s", env)
	}
	return headOf(r), nil
}

// Accept implements Documents. The text is stored before the head is updated,
// so that every version that a reader can see has its text.
func (d *documents) Accept(ctx context.Context, env ident.Environment, base ident.Version, head Head, text []byte) (Head, error) {
	if head.Change == "" {
		return Head{}, errors.New("document has no change identifier")
	}
	head.Version = base + 1
	head.Digest = digest(text)
	if err := d.objects.putIfAbsent(ctx, objectKey(env, head.Version, head.Digest), text); err != nil {
		return Head{}, errors.Wrapf(err, "store text of %s version %d", env, head.Version)
	}
	err := d.table.transact(ctx, "Accept", acceptPuts(env, base, head))
	if err == nil {
		return head, nil
	}
	if errors.Is(err, ErrConflict) {
		return d.resolveConflict(ctx, env, head)
	}
	return Head{}, errors.Wrapf(err, "accept %s version %d", env, head.Version)
}

// acceptPuts returns the writes that update the head from base and add the row
// of the new version.
func acceptPuts(env ident.Environment, base ident.Version, head Head) []types.Put {
	advanceHead := types.Put{
		Item:                headRow(env, headSort, head),
		ConditionExpression: aws.String("#Version = :base"),
	}
	if base == 0 {
		advanceHead.ConditionExpression = aws.String(rowMissing)
	} else {
		advanceHead.ExpressionAttributeValues = row{}.number(":base", uint64(base))
	}
	addVersion := types.Put{
		Item:                headRow(env, versionSort(head.Version), head),
		ConditionExpression: aws.String(rowMissing),
	}
	return []types.Put{advanceHead, addVersion}
}

// resolveConflict finds out whether a conflicting write was made by another
// author or is the caller's own write, whose answer was lost. The row of the
// version holds the change identifier of its author.
func (d *documents) resolveConflict(ctx context.Context, env ident.Environment, own Head) (Head, error) {
	winner, err := d.version(ctx, env, own.Version)
	if errors.Is(err, ErrNotFound) {
		return d.baseNotReached(ctx, env, own.Version)
	}
	if err != nil {
		return Head{}, errors.Wrapf(err, "read winner of %s version %d", env, own.Version)
	}
	if winner.Change == own.Change {
		return winner, nil
	}
	return winner, errors.Wrapf(ErrConflict, "%s version %d was accepted from %s", env, winner.Version, winner.Author)
}

// baseNotReached returns the conflict for a base that is newer than the
// environment's version.
func (d *documents) baseNotReached(ctx context.Context, env ident.Environment, version ident.Version) (Head, error) {
	head, err := d.Head(ctx, env)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Head{}, err
	}
	return head, errors.Wrapf(ErrConflict, "%s is at version %d, so version %d cannot follow", env, head.Version, version)
}

// Text implements Documents.
func (d *documents) Text(ctx context.Context, env ident.Environment, version ident.Version) ([]byte, error) {
	head, err := d.version(ctx, env, version)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s version %d", env, version)
	}
	text, err := d.objects.get(ctx, objectKey(env, version, head.Digest))
	if err != nil {
		return nil, errors.Wrapf(err, "read text of %s version %d", env, version)
	}
	if digest(text) != head.Digest {
		return nil, errors.Wrapf(ErrDamaged, "text of %s version %d", env, version)
	}
	return text, nil
}

// History implements Documents.
func (d *documents) History(ctx context.Context, env ident.Environment, limit int) ([]Head, error) {
	rows, err := d.table.query(ctx, "History", rowQuery{
		partition:  partitionFor(env, documentKind),
		prefix:     versionPrefix,
		descending: true,
		limit:      limit,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "read history of %s", env)
	}
	heads := make([]Head, len(rows))
	for i, r := range rows {
		heads[i] = headOf(r)
	}
	return heads, nil
}

func (d *documents) version(ctx context.Context, env ident.Environment, version ident.Version) (Head, error) {
	r, err := d.table.get(ctx, "Version", partitionFor(env, documentKind), versionSort(version))
	if err != nil {
		return Head{}, err
	}
	return headOf(r), nil
}

func headRow(env ident.Environment, sort string, h Head) row {
	return newRow(partitionFor(env, documentKind), sort).
		number("Version", uint64(h.Version)).
		text("Change", string(h.Change)).
		text("Digest", h.Digest).
		text("Author", h.Author).
		signed("At", h.At.UnixNano())
}

func headOf(r row) Head {
	return Head{
		Version: ident.Version(r.getNumber("Version")),
		Change:  ident.Change(r.getText("Change")),
		Digest:  r.getText("Digest"),
		Author:  r.getText("Author"),
		At:      time.Unix(0, r.getSigned("At")).UTC(),
	}
}

func versionSort(version ident.Version) string { return fmt.Sprintf("%s%020d", versionPrefix, version) }

func objectKey(env ident.Environment, version ident.Version, digest string) string {
	return fmt.Sprintf("%s/%d/%s", env, version, digest)
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
