package entry_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
)

// exec runs the input on a caller and repeats it as the arguments request.
func (s *script) exec(d *datadriven.TestData) string {
	name, until, tokenOf := d.CmdArgs[0].Key, "", ""
	d.MaybeScanArgs(s.t, "until", &until)
	d.MaybeScanArgs(s.t, "token", &tokenOf)
	if tokenOf != "" {
		s.setToken(name, tokenOf)
	}
	if d.HasArg("times") {
		return s.repeat(d)
	}
	deadline, reads := time.Now().Add(convergenceTimeout), s.replicaReads()
	for {
		result := query(s.callers[name], d.Input)
		switch {
		case d.HasArg("replica") && s.replicaReads() == reads:
		case until != "" && !strings.HasPrefix(result, "error "+until) && !strings.Contains(result, until):
		case d.HasArg("retry") && isRefused(result):
		default:
			return result
		}
		if time.Now().After(deadline) {
			return "after " + convergenceTimeout.String() + ": " + result
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setToken sets a caller's session token to that of another caller.
func (s *script) setToken(name, of string) {
	token := s.callers[of].PgConn().ParameterStatus("marjoram.session_token")
	result := query(s.callers[name], "SET marjoram.session_token = '"+token+"'")
	NewWithT(s.t).Expect(result).To(Equal("SET\n"))
}

func isRefused(result string) bool {
	for _, code := range []string{"53300", "57P03", "57P04"} {
		if strings.HasPrefix(result, "error "+code) {
			return true
		}
	}
	return false
}

// start runs the input in the background. It returns once the statement runs
// at an endpoint.
func (s *script) start(d *datadriven.TestData) {
	name := d.CmdArgs[0].Key
	done := make(chan string, 1)
	s.running[name] = done
	conn, sql := s.callers[name], d.Input
	s.background.Go(func() error {
		result := query(conn, sql)
		for isRefused(result) {
			result = query(conn, sql)
		}
		done <- result
		return nil
	})
	NewWithT(s.t).Eventually(s.cluster.runningStatements, eventTimeout, time.Millisecond).Should(BeNumerically(">", 0))
}

// query executes SQL in simple or, with a leading "$", extended mode and prints
// the rows, the command tag or the error.
func query(conn *pgx.Conn, sql string) string {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	mode := pgx.QueryExecModeSimpleProtocol
	if rest, extended := strings.CutPrefix(sql, "$ "); extended {
		sql, mode = rest, pgx.QueryExecModeCacheDescribe
	}
	rows, err := conn.Query(ctx, sql, mode)
	if err != nil {
		return formatError(nil, err)
	}
	var lines []string
	for rows.Next() {
		values, err := rows.Values()
		if err != nil {
			return formatError(nil, err)
		}
		lines = append(lines, strings.Trim(fmt.Sprint(values), "[]"))
	}
	if err := rows.Err(); err != nil {
		return formatError(lines, err)
	}
	sort.Strings(lines)
	if len(lines) == 0 {
		return rows.CommandTag().String() + "\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func formatError(rows []string, err error) string {
	c := sqlState(err)
	if len(rows) > 0 {
		return fmt.Sprintf("error %s after %d rows\n", c, len(rows))
	}
	return "error " + c + "\n"
}
