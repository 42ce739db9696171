package entry_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/group"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// convergenceTimeout is the time within which documents, keys and changes of
// primary must take effect.
const convergenceTimeout = 9 * time.Second

// TestScripts runs the scripts under testdata. A script starts with "cluster"
// and drives real proxies and stand-ins in this process:
//
//	cluster proxies=N [timeout=D]    start a platform, a group and N proxies with
//	                                 request timeout D
//	caller NAME proxy=I route=R [token=OTHER] [once|answered]
//	                                 connect a caller, retrying until it succeeds;
//	                                 once tries a single login and prints its
//	                                 result; answered retries while the proxy has
//	                                 no document to check the key against
//	exec NAME [retry] [until=CODE] [token=OTHER] [replica] [times=N]
//	                                 run the input; retry repeats it while the
//	                                 proxy reports that it did not run; until=CODE
//	                                 repeats it until it ends with that code;
//	                                 replica repeats it until a replica ran a
//	                                 read; times=N runs it N times and prints the
//	                                 first result that differs
//	start NAME                       run the input in the background
//	await NAME                       wait for it and print its result
//	fault ENDPOINT FIELD=VALUE       set a fault of an endpoint
//	platform FIELD=VALUE             set a fault of the platform
//	kill ENDPOINT                    stop an endpoint
//	revoke                           remove the key of the account from the document
//	leave ENDPOINT                   list an endpoint as leaving
//	primary-changed ENDPOINT         wait until another endpoint is primary
//	cancel NAME                      cancel the caller's running statement
//	disconnect NAME                  close the caller's socket
//	stop I                           begin the graceful stop of a proxy
//	stopped I                        wait until it has stopped
//	restart I                        restart a proxy without its state
//	count ENDPOINT KIND              print the number of statements of a kind
//	ids ENDPOINT TABLE               print the ids in an endpoint's table once all
//	                                 endpoints have the same ones
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		defer verifyNoLeaks(t, goleak.IgnoreCurrent())
		s := &script{t: t, callers: map[string]*pgx.Conn{}, running: map[string]chan string{}, stops: map[int]chan error{}}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.step(d) })
		s.finish()
	})
}

// verifyNoLeaks checks that no goroutine outlives a script. A failed script may
// not have closed its cluster yet.
func verifyNoLeaks(t *testing.T, before goleak.Option) {
	if !t.Failed() {
		goleak.VerifyNone(t, before)
	}
}

type script struct {
	t          *testing.T
	cluster    *cluster
	callers    map[string]*pgx.Conn
	running    map[string]chan string // statements started in the background
	stops      map[int]chan error
	background errgroup.Group
}

func (s *script) finish() {
	for _, c := range s.callers {
		_ = c.Close(context.Background())
	}
	s.expect(s.background.Wait())
	s.cluster.close()
}

func (s *script) step(d *datadriven.TestData) string {
	switch d.Cmd {
	case "cluster":
		s.startCluster(d)
	case "caller":
		return s.caller(d)
	case "exec":
		return s.exec(d)
	case "start":
		s.start(d)
	case "await":
		return <-s.running[d.CmdArgs[0].Key]
	case "fault":
		s.fault(d)
	case "platform":
		s.platform(d)
	case "kill":
		s.expect(s.cluster.endpoints[ident.Endpoint(d.CmdArgs[0].Key)].Close())
	case "revoke":
		s.cluster.document.Accounts[0].Keys = []envdoc.KeyHash{envdoc.HashKey("mk_other")}
		s.cluster.applyDocument(2)
	case "leave":
		s.cluster.platform.SetList([]plat.Listed{{Name: d.CmdArgs[0].Key, Leaving: true}})
	case "cancel":
		s.expect(s.callers[d.CmdArgs[0].Key].PgConn().CancelRequest(context.Background()))
	case "disconnect":
		s.expect(s.callers[d.CmdArgs[0].Key].PgConn().Conn().Close())
	case "stop":
		s.stop(d)
	case "stopped":
		s.expect(<-s.stops[index(s.t, d)])
	case "restart":
		s.cluster.restartProxy(index(s.t, d))
	case "primary-changed":
		s.awaitPrimaryChange(ident.Endpoint(d.CmdArgs[0].Key))
	case "count":
		return s.countStatements(d)
	case "ids":
		return s.printIDs(d)
	default:
		s.t.Fatalf("%s: unknown directive %s", d.Pos, d.Cmd)
	}
	return ""
}

func (s *script) startCluster(d *datadriven.TestData) {
	proxies, text := 1, conf.DefaultRequestTimeout.String()
	d.MaybeScanArgs(s.t, "proxies", &proxies)
	d.MaybeScanArgs(s.t, "timeout", &text)
	var timeout envdoc.Duration
	s.expect(timeout.UnmarshalText([]byte(text)))
	s.cluster = newClusterWithTimeout(s.t, proxies, timeout)
}

func (s *script) expect(err error) { NewWithT(s.t).ExpectWithOffset(1, err).NotTo(HaveOccurred()) }

func index(t *testing.T, d *datadriven.TestData) int {
	var i int
	_, err := fmt.Sscan(d.CmdArgs[0].Key, &i)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return i
}

func (s *script) caller(d *datadriven.TestData) string {
	var proxy int
	route, tokenOf, options := "orders", "", ""
	d.MaybeScanArgs(s.t, "proxy", &proxy)
	d.MaybeScanArgs(s.t, "route", &route)
	d.MaybeScanArgs(s.t, "token", &tokenOf)
	if tokenOf != "" {
		options = "&marjoram.session_token=" + s.callers[tokenOf].PgConn().ParameterStatus("marjoram.session_token")
	}
	if d.HasArg("once") {
		conn, err := s.cluster.tryConnect(proxy, route, options)
		if err != nil {
			return formatError(nil, err)
		}
		s.callers[d.CmdArgs[0].Key] = conn
		return "connected\n"
	}
	if d.HasArg("answered") {
		return s.loginUntilAnswered(proxy, route)
	}
	s.callers[d.CmdArgs[0].Key] = s.cluster.connect(proxy, route, options)
	return ""
}

// loginUntilAnswered repeats a login until the proxy accepts or rejects the
// key, and prints the result.
func (s *script) loginUntilAnswered(proxy int, route string) string {
	var result string
	NewWithT(s.t).Eventually(func() string {
		conn, err := s.cluster.tryConnect(proxy, route, "")
		if err == nil {
			s.expect(conn.Close(context.Background()))
			result = "connected\n"
			return result
		}
		result = formatError(nil, err)
		return result
	}, convergenceTimeout, 20*time.Millisecond).Should(Or(Equal("connected\n"), Equal("error 28P01\n")))
	return result
}

// repeat runs the input several times and prints the first result that differs
// from that of the first run.
func (s *script) repeat(d *datadriven.TestData) string {
	var times int
	d.ScanArgs(s.t, "times", &times)
	conn := s.callers[d.CmdArgs[0].Key]
	first := query(conn, d.Input)
	for range times - 1 {
		time.Sleep(10 * time.Millisecond)
		if result := query(conn, d.Input); result != first {
			return "then: " + result
		}
	}
	return first
}

// replicaReads counts the reads that replicas ran.
func (s *script) replicaReads() int64 {
	var reads int64
	for _, e := range s.cluster.endpoints {
		reads += e.Counters().Reads[group.ReplicaRole]
	}
	return reads
}

func (s *script) stop(d *datadriven.TestData) {
	i := index(s.t, d)
	done := make(chan error, 1)
	s.stops[i] = done
	p := s.cluster.proxies[i]
	s.background.Go(func() error {
		done <- p.Stop(context.Background())
		return nil
	})
	NewWithT(s.t).Eventually(func() error { return p.Ready(time.Now()) }, eventTimeout, time.Millisecond).ShouldNot(Succeed())
}

// awaitPrimaryChange waits until every proxy reports a different primary.
func (s *script) awaitPrimaryChange(from ident.Endpoint) {
	for _, p := range s.cluster.proxies {
		NewWithT(s.t).Eventually(func() ident.Endpoint {
			return p.Report(time.Now()).Groups[0].Primary
		}, convergenceTimeout, time.Millisecond).ShouldNot(BeElementOf(from, ident.Endpoint("")))
	}
}

// countStatements returns how many statements of a kind an endpoint ran.
func (s *script) countStatements(d *datadriven.TestData) string {
	e := s.cluster.endpoints[ident.Endpoint(d.CmdArgs[0].Key)]
	return fmt.Sprintln(e.Counters().Statements[d.CmdArgs[1].Key])
}

// printIDs returns the ids of a table at an endpoint, once all endpoints have
// the same ones.
func (s *script) printIDs(d *datadriven.TestData) string {
	e := s.cluster.endpoints[ident.Endpoint(d.CmdArgs[0].Key)]
	table := d.CmdArgs[1].Key
	sameRows := func(g Gomega) {
		for _, other := range s.cluster.endpoints {
			g.Expect(ids(e, table)).To(Equal(ids(other, table)))
		}
	}
	NewWithT(s.t).Eventually(sameRows, convergenceTimeout, 10*time.Millisecond).Should(Succeed())
	return strings.Join(ids(e, table), "\n") + "\n"
}

func ids(e *endpt.Server, table string) []string {
	var list []string
	for _, row := range e.Rows(table) {
		list = append(list, *row["id"])
	}
	sort.Strings(list)
	return list
}
