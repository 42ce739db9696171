// Package watch reads the metrics and the violated invariants of the proxies of
// a running deployment.
package watch

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const readTimeout = 3 * time.Second

// Counters holds the metrics of one proxy by full name.
type Counters map[string]float64

// Metrics reads the metrics page of an instance.
func Metrics(ctx context.Context, address string) (Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	out := Counters{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := cutAtLastSpace(lines.Text())
		if n, err := strconv.ParseFloat(value, 64); found && err == nil {
			out[name] = n
		}
	}
	return out, errors.Wrap(lines.Err(), "read metrics")
}

func cutAtLastSpace(line string) (before, after string, found bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return line, "", false
	}
	return line[:i], line[i+1:], true
}

// Summary holds the sums over the proxies of a deployment.
type Summary struct {
	ReadsReplica float64
	ReadsPrimary float64
	Parked       float64
	Unknown      float64
	Invariants   []Invariant
	Unreachable  []ident.Instance
}

// Invariant is a violated invariant of one instance.
type Invariant struct {
	Instance ident.Instance
	Report   string
}

// Summarise queries every proxy of the deployment. Proxies that do not answer
// are listed as unreachable.
func Summarise(ctx context.Context, l *layout.Layout) Summary {
	var s Summary
	client := admin.NewClient("")
	defer client.Close()
	for _, p := range l.Proxies {
		if err := s.add(ctx, client, p); err != nil {
			s.Unreachable = append(s.Unreachable, p.Name)
		}
	}
	return s
}

func (s *Summary) add(ctx context.Context, client *admin.Client, p layout.Proxy) error {
	c, err := Metrics(ctx, p.Admin)
	if err != nil {
		return err
	}
	s.ReadsReplica += c[`marjoram_reads_total{role="replica"}`]
	s.ReadsPrimary += c[`marjoram_reads_total{role="primary"}`]
	s.Parked += c[`marjoram_parked_total`]
	s.Unknown += c[`marjoram_outcome_unknown_total`]
	violated, err := client.Invariants(ctx, p.Admin)
	if err != nil {
		return err
	}
	for _, r := range violated.Reports {
		s.Invariants = append(s.Invariants, Invariant{Instance: p.Name, Report: r})
	}
	return nil
}

// ReplicaShare returns the fraction of the reads that replicas served, or 1 if
// there were no reads.
func (s *Summary) ReplicaShare() float64 {
	if all := s.ReadsReplica + s.ReadsPrimary; all > 0 {
		return s.ReadsReplica / all
	}
	return 1
}
