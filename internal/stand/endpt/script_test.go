package endpt

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// script runs the directives of one data file against its own group.
//
//	connect name=x server=a     opens a connection
//	sql conn=x                  sends the input as one Query message
//	await conn=x                repeats sql until the output is the expected one
//	pipeline conn=x             sends each line by the extended protocol; "sync" sends Sync
//	fault server=a              sets faults, given as JSON
//	restart server=b            stops the endpoint and starts an empty one in its place
//
// ${a} in the input stands for the address of endpoint a.
type script struct {
	*trio
	conns map[string]*pgx.Conn
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{trio: startTrio(t, nil), conns: map[string]*pgx.Conn{}}
		datadriven.RunTest(t, path, s.directive)
	})
}

func (s *script) directive(t *testing.T, d *datadriven.TestData) string {
	d.Input = os.Expand(d.Input, func(n string) string { return s.servers[ident.Endpoint(n)].Addr() })
	var name, server string
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "server", &server)
	d.MaybeScanArgs(t, "conn", &name)
	switch d.Cmd {
	case "connect":
		s.conns[name] = s.dial(ident.Endpoint(server), simple)
		return ""
	case "sql":
		return runQuery(s.conns[name], d.Input)
	case "await":
		return await(t, d, func() string { return runQuery(s.conns[name], d.Input) })
	case "pipeline":
		return runPipeline(s.conns[name], strings.Split(d.Input, "\n"))
	case "fault":
		var f Faults
		s.Expect(json.Unmarshal([]byte(d.Input), &f)).To(Succeed())
		s.servers[ident.Endpoint(server)].SetFaults(f)
		return ""
	case "restart":
		s.restart(ident.Endpoint(server))
		return ""
	}
	d.Fatalf(t, "unknown directive")
	return ""
}

// await repeats f until it returns the output that the data file expects.
func await(t *testing.T, d *datadriven.TestData, f func() string) string {
	if d.Rewrite {
		return d.Retry(t, f)
	}
	end := time.Now().Add(testTimeout)
	for {
		out := f()
		if strings.TrimSpace(out) == strings.TrimSpace(d.Expected) || time.Now().After(end) {
			return out
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *script) restart(n ident.Endpoint) {
	old := s.servers[n]
	s.Expect(old.Close()).To(Succeed())
	c := old.config
	c.Listen, c.Listener = old.Addr(), nil
	restarted, err := Start(context.Background(), c)
	s.Expect(err).NotTo(HaveOccurred())
	s.servers[n] = restarted
	s.t.Cleanup(func() { s.Expect(restarted.Close()).To(Succeed()) })
}

func runQuery(c *pgx.Conn, sql string) string {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	results, err := c.PgConn().Exec(ctx, sql).ReadAll()
	var b strings.Builder
	for _, r := range results {
		printResult(&b, r)
	}
	printEnd(&b, c, err)
	return b.String()
}

func printResult(b *strings.Builder, r *pgconn.Result) {
	for _, row := range r.Rows {
		var values []string
		for i, v := range row {
			values = append(values, printValue(r.FieldDescriptions[i].Name, v))
		}
		fmt.Fprintln(b, strings.Join(values, " | "))
	}
	if tag := r.CommandTag.String(); tag != "" {
		fmt.Fprintln(b, tag)
	}
}

func printValue(column string, v []byte) string {
	switch {
	case strings.HasSuffix(column, "_ms"):
		return "-"
	case v == nil:
		return "NULL"
	case len(v) == 0:
		return "''"
	}
	return string(v)
}

func printEnd(b *strings.Builder, c *pgx.Conn, err error) {
	var e *pgconn.PgError
	switch {
	case errors.As(err, &e):
		fmt.Fprintln(b, strings.TrimSpace(fmt.Sprintf("ERROR %s %s", e.Code, e.Detail)))
	case err != nil:
		fmt.Fprintln(b, "connection lost")
	}
	if status := c.PgConn().TxStatus(); status != 'I' && err == nil || status == 'E' {
		fmt.Fprintf(b, "[%c]\n", status)
	}
}

func runPipeline(c *pgx.Conn, lines []string) string {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	p := c.PgConn().StartPipeline(ctx)
	for _, l := range lines {
		if l == "sync" {
			_ = p.Sync()
			continue
		}
		p.SendQueryParams(l, nil, nil, nil, nil)
	}
	_ = p.Flush()
	var b strings.Builder
	for syncs := strings.Count(strings.Join(lines, "\n"), "sync"); syncs > 0; {
		r, err := p.GetResults()
		if err != nil {
			printEnd(&b, c, err)
			continue
		}
		switch r := r.(type) {
		case *pgconn.ResultReader:
			result := r.Read()
			printResult(&b, result)
			if result.Err != nil {
				printEnd(&b, c, result.Err)
			}
		case *pgconn.PipelineSync:
			fmt.Fprintf(&b, "sync %c\n", c.PgConn().TxStatus())
			syncs--
		}
	}
	_ = p.Close()
	return b.String()
}
