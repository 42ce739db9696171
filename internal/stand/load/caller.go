package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const tokenSetting = "marjoram.session_token"

// caller is one session of an account: at any time on one proxy, with a
// connection for each route, and with the session token of its last write.
type caller struct {
	config  *Config
	account *Account
	target  *Target
	rng     *rand.Rand
	proxy   int
	token   string
	conns   map[ident.Route]*pgx.Conn
	ownLast string // its last acknowledged order
}

func newCaller(c *Config, account, target, number int) *caller {
	rng := rand.New(rand.NewPCG(c.Seed^uint64(account)<<32, uint64(target)<<32|uint64(number)))
	return &caller{
		config: c, account: &c.Accounts[account], target: &c.Targets[target], rng: rng,
		proxy: rng.IntN(len(c.Proxies)), conns: map[ident.Route]*pgx.Conn{},
	}
}

// roam moves the session to another proxy now and then.
func (c *caller) roam() {
	if c.rng.Float64() < c.config.Roam {
		c.move()
	}
}

// move closes the connections and picks another proxy.
func (c *caller) move() {
	c.close()
	if n := len(c.config.Proxies); n > 1 {
		c.proxy = (c.proxy + 1 + c.rng.IntN(n-1)) % n
	}
}

const closeTimeout = time.Second

func (c *caller) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for r, conn := range c.conns {
		_ = conn.Close(ctx)
		delete(c.conns, r)
	}
}

// conn returns the connection for a route and opens it when there is none.
func (c *caller) conn(ctx context.Context, route ident.Route) (*pgx.Conn, error) {
	if conn := c.conns[route]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	config, err := pgx.ParseConfig("postgres://" + c.config.Proxies[c.proxy] + "/" + string(route) + "?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "caller's settings")
	}
	config.User, config.Password = string(c.account.Name), c.account.Key
	if c.token != "" {
		config.RuntimeParams[tokenSetting] = c.token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, connectError{err}
	}
	c.conns[route] = conn
	return conn, nil
}

// keepToken takes over the session token that the proxy has told.
func (c *caller) keepToken(conn *pgx.Conn) {
	if t := conn.PgConn().ParameterStatus(tokenSetting); t != "" {
		c.token = t
	}
}

// settle drops connections that are not fit for the next request and moves on
// when the proxy did not serve.
func (c *caller) settle(v verdict) {
	for r, conn := range c.conns {
		if conn.IsClosed() || conn.PgConn().TxStatus() != 'I' {
			_ = conn.Close(context.Background())
			delete(c.conns, r)
		}
	}
	if v.code == unreachable || v.code == Lost || v.outcome == Unknown {
		c.move()
	}
}

// observe tells of an attempt that has ended.
func (c *caller) observe(a Attempt, err error) {
	if c.config.Observe == nil {
		return
	}
	var wrong *answerError
	if errors.As(err, &wrong) {
		a.Mistaken = wrong.text
	}
	if err != nil {
		a.Cause = err.Error()
	}
	a.Account, a.Group = c.account.Name, c.target.Group
	c.config.Observe(a)
}
