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

// SpareAccount is the account whose key comes and goes.
const SpareAccount = ident.Account("soak-spare")

const (
	spareRate    = ident.Tokens(200)
	spareBurst   = ident.Tokens(100)
	keyLife      = 6 * time.Second
	keyAfterlife = spreadBound + 3*time.Second
	probePause   = 200 * time.Millisecond
	probeTimeout = 3 * time.Second
	editPause    = 200 * time.Millisecond
)

// keyCheck gives a key to a spare account and withdraws it, over and over,
// while a caller on each proxy uses it and stays connected.
type keyCheck struct {
	set    *set
	book   *book
	office *office

	mu      sync.Mutex
	served  int
	slowest time.Duration // from a withdrawal to the last request that was served
	rounds  int
}

// addSpare puts the spare account into the document.
func (o *office) addSpare(ctx context.Context) error {
	_, err := o.edit(ctx, authorOf(SpareAccount), func(d *envdoc.Document) (*envdoc.Document, error) {
		fresh := *d
		fresh.Accounts = append(append([]envdoc.Account(nil), d.Accounts...),
			envdoc.Account{Name: SpareAccount, Rate: spareRate, Burst: spareBurst, Weight: 1})
		return &fresh, nil
	})
	return errors.Wrap(err, "add the spare account")
}

func (k *keyCheck) run(ctx context.Context) error {
	for ctx.Err() == nil {
		k.round(ctx)
	}
	return nil
}

// usedKey is one key with the time of its withdrawal.
type usedKey struct {
	key string

	mu        sync.Mutex
	withdrawn time.Time
}

func (u *usedKey) withdraw(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.withdrawn = now
}

func (u *usedKey) withdrawnAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.withdrawn
}

func (k *keyCheck) round(ctx context.Context) {
	u := &usedKey{key: envdoc.NewKey()}
	hash := envdoc.HashKey(u.key)
	if !k.settle(ctx, envdoc.ErrKeyExists, func(d *envdoc.Document) (*envdoc.Document, error) { return d.AddKey(SpareAccount, hash) }) {
		return
	}
	users, cancel := context.WithCancel(ctx)
	group := tasks.New(users)
	for i := range k.set.layout.Proxies {
		group.Go(func(ctx context.Context) error { return k.use(ctx, i, u) })
	}
	tasks.PauseUntil(ctx, time.Now().Add(keyLife))
	if k.settle(ctx, envdoc.ErrNoKey, func(d *envdoc.Document) (*envdoc.Document, error) { return d.RevokeKey(SpareAccount, hash) }) {
		u.withdraw(time.Now())
		tasks.PauseUntil(ctx, time.Now().Add(keyAfterlife))
		k.mu.Lock()
		k.rounds++
		k.mu.Unlock()
	}
	cancel()
	_ = group.Close()
}

// settle repeats a change until it is known to stand. The error done says that
// it stands already.
func (k *keyCheck) settle(ctx context.Context, done error, f change) bool {
	for range ticks(ctx, editPause) {
		if _, err := k.office.edit(ctx, authorOf(SpareAccount), f); err == nil || errors.Is(err, done) {
			return true
		}
	}
	return false
}

// use sends a request on one proxy now and then, on a connection that it keeps
// as long as it lasts, and on new ones in turn.
func (k *keyCheck) use(ctx context.Context, proxy int, u *usedKey) error {
	var kept *pgx.Conn
	defer func() { closeConn(kept) }()
	for range ticks(ctx, probePause) {
		if kept == nil || kept.IsClosed() {
			kept = k.connect(ctx, proxy, u.key)
			continue
		}
		sent := time.Now()
		if k.ask(ctx, kept) {
			k.note(proxy, u, sent)
		}
	}
	return nil
}

func (k *keyCheck) connect(ctx context.Context, proxy int, key string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l := k.set.layout
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

// ask reports whether a request was served.
func (k *keyCheck) ask(ctx context.Context, conn *pgx.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	rows, err := conn.Query(ctx, "SELECT item FROM stock WHERE shelf = $1", pgx.QueryExecModeExec, "shelf-0")
	if err != nil {
		return false
	}
	items, err := pgx.CollectRows(rows, pgx.RowTo[string])
	return err == nil && len(items) > 0
}

func (k *keyCheck) note(proxy int, u *usedKey, sent time.Time) {
	k.mu.Lock()
	k.served++
	withdrawn := u.withdrawnAt()
	late := sent.Sub(withdrawn)
	if !withdrawn.IsZero() && late > 0 {
		k.slowest = max(k.slowest, late)
	}
	k.mu.Unlock()
	if !withdrawn.IsZero() && late > spreadBound {
		k.book.violate(time.Now(), KeyWithdrawn, fmt.Sprintf("%s served a request that was sent %.2f s after its key was withdrawn",
			k.set.layout.Proxies[proxy].Name, late.Seconds()))
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
