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

// documents keeps one row for the head of an environment, one for each
// version, and the texts as objects.
type documents struct {
	table   table
	objects objects
}

// Head implements Documents.
func (d *documents) Head(ctx context.Context, env ident.Environment) (Head, error) {
	r, err := d.table.get(ctx, "Head", section(env, documentKind), headSort)
	if err != nil {
		return Head{}, errors.Wrapf(err, "read head of %s", env)
	}
	return headOf(r), nil
}

// Accept implements Documents. The text is stored before the head moves, so
// that whoever sees a version can read it.
func (d *documents) Accept(ctx context.Context, env ident.Environment, base ident.Version, head Head, text []byte) (Head, error) {
	if head.Change == "" {
		return Head{}, errors.New("accept a document without a change identifier")
	}
	head.Version = base + 1
	head.Digest = digest(text)
	if err := d.objects.put(ctx, objectKey(env, head.Version, head.Digest), text); err != nil {
		return Head{}, errors.Wrapf(err, "store text of %s version %d", env, head.Version)
	}
	err := d.table.transact(ctx, "Accept", acceptance(env, base, head))
	if err == nil {
		return head, nil
	}
	if errors.Is(err, ErrConflict) {
		return d.settle(ctx, env, head)
	}
	return Head{}, errors.Wrapf(err, "accept %s version %d", env, head.Version)
}

// acceptance moves the head from base and adds the row of the version.
func acceptance(env ident.Environment, base ident.Version, head Head) []types.Put {
	move := types.Put{
		Item:                headRow(env, headSort, head),
		ConditionExpression: aws.String("#Version = :base"),
	}
	if base == 0 {
		move.ConditionExpression = aws.String(rowMissing)
	} else {
		move.ExpressionAttributeValues = row{}.number(":base", uint64(base))
	}
	add := types.Put{
		Item:                headRow(env, versionSort(head.Version), head),
		ConditionExpression: aws.String(rowMissing),
	}
	return []types.Put{move, add}
}

// settle tells a lost race from an own write whose answer was lost: the row
// of the version carries the change identifier of its author.
func (d *documents) settle(ctx context.Context, env ident.Environment, own Head) (Head, error) {
	winner, err := d.version(ctx, env, own.Version)
	if errors.Is(err, ErrNotFound) {
		return d.behind(ctx, env, own.Version)
	}
	if err != nil {
		return Head{}, errors.Wrapf(err, "read winner of %s version %d", env, own.Version)
	}
	if winner.Change == own.Change {
		return winner, nil
	}
	return winner, errors.Wrapf(ErrConflict, "%s version %d was accepted from %s", env, winner.Version, winner.Author)
}

// behind reports a base that the environment has not reached.
func (d *documents) behind(ctx context.Context, env ident.Environment, wanted ident.Version) (Head, error) {
	head, err := d.Head(ctx, env)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Head{}, err
	}
	return head, errors.Wrapf(ErrConflict, "%s is at version %d, so version %d cannot follow", env, head.Version, wanted)
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
	rows, err := d.table.query(ctx, "History", list{
		partition:  section(env, documentKind),
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
	r, err := d.table.get(ctx, "Version", section(env, documentKind), versionSort(version))
	if err != nil {
		return Head{}, err
	}
	return headOf(r), nil
}

func headRow(env ident.Environment, sort string, h Head) row {
	return newRow(section(env, documentKind), sort).
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
