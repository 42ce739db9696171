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

// caller is one session of an account. It uses one proxy at a time, with one
// connection for each route, and carries the session token of its last write.
type caller struct {
	config    *Config
	account   *Account
	target    *Target
	rng       *rand.Rand
	proxy     int
	token     string
	conns     map[ident.Route]*pgx.Conn
	lastOrder string // identifier of its last acknowledged order
}

func newCaller(c *Config, account, target, number int) *caller {
	rng := rand.New(rand.NewPCG(c.Seed^uint64(account)<<32, uint64(target)<<32|uint64(number)))
	return &caller{
		config: c, account: &c.Accounts[account], target: &c.Targets[target], rng: rng,
		proxy: rng.IntN(len(c.Proxies)), conns: map[ident.Route]*pgx.Conn{},
	}
}

// roam moves the session to another proxy with the configured probability.
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

// conn returns the connection for a route and opens one if necessary.
func (c *caller) conn(ctx context.Context, route ident.Route) (*pgx.Conn, error) {
	if conn := c.conns[route]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	config, err := pgx.ParseConfig("postgres://" + c.config.Proxies[c.proxy] + "/" + string(route) + "?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "parse connection string")
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

// storeToken stores the session token that the proxy reported.
func (c *caller) storeToken(conn *pgx.Conn) {
	if t := conn.PgConn().ParameterStatus(tokenSetting); t != "" {
		c.token = t
	}
}

// prepareNext closes connections that cannot serve the next request, and moves
// to another proxy after a failure of the current one.
func (c *caller) prepareNext(res result) {
	for r, conn := range c.conns {
		if conn.IsClosed() || conn.PgConn().TxStatus() != 'I' {
			_ = conn.Close(context.Background())
			delete(c.conns, r)
		}
	}
	if res.code == unreachable || res.code == ConnLost || res.outcome == Unknown {
		c.move()
	}
}

// observe reports an attempt that has ended to Config.Observe.
func (c *caller) observe(a Attempt, err error) {
	if c.config.Observe == nil {
		return
	}
	var wrong *answerError
	if errors.As(err, &wrong) {
		a.WrongAnswer = wrong.text
	}
	if err != nil {
		a.Cause = err.Error()
	}
	a.Account, a.Group = c.account.Name, c.target.Group
	c.config.Observe(a)
}
