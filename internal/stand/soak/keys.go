package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// SpareAccount is the account whose key is added and revoked repeatedly.
const SpareAccount = ident.Account("soak-spare")

const (
	spareRate    = ident.Tokens(200)
	spareBurst   = ident.Tokens(100)
	keyLifetime  = 6 * time.Second
	revokedTime  = rolloutBound + 3*time.Second
	probePause   = 200 * time.Millisecond
	probeTimeout = 3 * time.Second
	editPause    = 200 * time.Millisecond
)

// keyCheck repeatedly adds a key to a spare account and revokes it, while a
// caller on each proxy uses the key and stays connected.
type keyCheck struct {
	deployment *deployment
	recorder   *recorder
	operators  *operatorPool

	mu      sync.Mutex
	served  int
	slowest time.Duration // longest time from a revocation to a request that was served
	rounds  int
}

// addSpare adds the spare account to the document.
func (o *operatorPool) addSpare(ctx context.Context) error {
	_, err := o.edit(ctx, authorOf(SpareAccount), func(d *envdoc.Document) (*envdoc.Document, error) {
		changed := *d
		changed.Accounts = append(append([]envdoc.Account(nil), d.Accounts...),
			envdoc.Account{Name: SpareAccount, Rate: spareRate, Burst: spareBurst, Weight: 1})
		return &changed, nil
	})
	return errors.Wrap(err, "add the spare account")
}

func (k *keyCheck) run(ctx context.Context) error {
	for ctx.Err() == nil {
		k.round(ctx)
	}
	return nil
}

// usedKey is one key with the time of its revocation.
type usedKey struct {
	key string

	mu      sync.Mutex
	revoked time.Time
}

func (u *usedKey) revoke(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.revoked = now
}

func (u *usedKey) revokedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.revoked
}

func (k *keyCheck) round(ctx context.Context) {
	u := &usedKey{key: envdoc.NewKey()}
	hash := envdoc.HashKey(u.key)
	if !k.editUntilDone(ctx, envdoc.ErrKeyExists, func(d *envdoc.Document) (*envdoc.Document, error) { return d.AddKey(SpareAccount, hash) }) {
		return
	}
	users, cancel := context.WithCancel(ctx)
	group := tasks.New(users)
	for i := range k.deployment.layout.Proxies {
		group.Go(func(ctx context.Context) error { return k.use(ctx, i, u) })
	}
	tasks.PauseUntil(ctx, time.Now().Add(keyLifetime))
	if k.editUntilDone(ctx, envdoc.ErrNoKey, func(d *envdoc.Document) (*envdoc.Document, error) { return d.RevokeKey(SpareAccount, hash) }) {
		u.revoke(time.Now())
		tasks.PauseUntil(ctx, time.Now().Add(revokedTime))
		k.mu.Lock()
		k.rounds++
		k.mu.Unlock()
	}
	cancel()
	_ = group.Close()
}

// editUntilDone repeats a change until it is known to be stored. The error done
// means that it is stored already.
func (k *keyCheck) editUntilDone(ctx context.Context, done error, f change) bool {
	for range ticks(ctx, editPause) {
		if _, err := k.operators.edit(ctx, authorOf(SpareAccount), f); err == nil || errors.Is(err, done) {
			return true
		}
	}
	return false
}

// use sends a request on one proxy every probePause, on one connection that it
// reopens when it is lost.
func (k *keyCheck) use(ctx context.Context, proxy int, u *usedKey) error {
	var kept *pgx.Conn
	defer func() { closeConn(kept) }()
	for range ticks(ctx, probePause) {
		if kept == nil || kept.IsClosed() {
			kept = k.connect(ctx, proxy, u.key)
			continue
		}
		sent := time.Now()
		if k.query(ctx, kept) {
			k.record(proxy, u, sent)
		}
	}
	return nil
}

func (k *keyCheck) connect(ctx context.Context, proxy int, key string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l := k.deployment.layout
	route := layout.LookupRoute(l.Groups[proxy%len(l.Groups)].Name)
	config, err := pgx.ParseConfig("postgres://" + l.Proxies[proxy].Callers + "/" + string(route) + "?sslmode=disable")
	if err != nil {
		return nil
	}
	config.User, config.Password = string(SpareAccount), key
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil
	}
	return conn
}

// query reports whether a request was served.
func (k *keyCheck) query(ctx context.Context, conn *pgx.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	rows, err := conn.Query(ctx, "SELECT item FROM stock WHERE shelf = $1", pgx.QueryExecModeExec, "shelf-0")
	if err != nil {
		return false
	}
	items, err := pgx.CollectRows(rows, pgx.RowTo[string])
	return err == nil && len(items) > 0
}

func (k *keyCheck) record(proxy int, u *usedKey, sent time.Time) {
	k.mu.Lock()
	k.served++
	revoked := u.revokedAt()
	late := sent.Sub(revoked)
	if !revoked.IsZero() && late > 0 {
		k.slowest = max(k.slowest, late)
	}
	k.mu.Unlock()
	if !revoked.IsZero() && late > rolloutBound {
		k.recorder.violate(time.Now(), KeyRevoked, fmt.Sprintf("%s served a request that was sent %.2f s after its key was revoked",
			k.deployment.layout.Proxies[proxy].Name, late.Seconds()))
	}
}

func closeConn(c *pgx.Conn) {
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.Close(ctx)
}
