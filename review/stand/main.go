// Command stand plays the review's cases: it starts instances of the proxy as
// separate processes on stand-ins of the platform, of the database servers and
// of callers, plays one disruption and checks one rule by what callers and
// servers have seen. It exits with 1 if the rule was broken, with 0 if it held
// and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// caseTimeout ends a case that hangs.
	caseTimeout = 100 * time.Second
)

// errNotRun reports that a case could not be played as planned.
var errNotRun = errors.New("the case could not run")

// play is one case: its site, and what plays it and returns the violations of
// the rule.
type play struct {
	site site
	run  func(ctx context.Context, d *deployment, trouble bool) ([]string, error)
}

var plays = map[string]play{
	"transaction-after-restart": {carbonella, playTransactionAfterRestart},
	"answer-after-restart":      {tamarind, playAnswerAfterRestart},
	"key-in-transaction":        {carbonella, playKeyInTransaction},
	"stale-replica":             {withLogs(carbonella), playStaleReplica},
	"epoch-after-drill":         {carbonella, playEpochAfterDrill},
	"line-feed":                 {grown, playLineFeed},
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name: its name and the folder for
// record.txt.
func run(args []string) int {
	if len(args) != 2 || plays[args[0]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord()
	violations, err := playCase(ctx, plays[args[0]], r, trouble)
	code := exitHeld
	switch {
	case err != nil:
		r.note("not run: %v", err)
		code = exitNotRun
	case len(violations) > 0:
		code = exitBroken
	}
	for _, v := range violations {
		r.note("violation: %s", v)
	}
	r.note("case %s, disruption %t: exit status %d", args[0], trouble, code)
	if err := r.write(filepath.Join(args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

func playCase(ctx context.Context, p play, r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r, p.site)
	if err != nil {
		return nil, err
	}
	defer d.close()
	violations, err := p.run(ctx, d, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return violations, err
}
