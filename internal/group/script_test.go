package group

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var disableSafeguard = map[string]func(*safeguards){
	"":                nil,
	"requireVotes":    func(r *safeguards) { r.requireVotes = false },
	"sealMajority":    func(r *safeguards) { r.sealMajority = false },
	"mostAdvanced":    func(r *safeguards) { r.mostAdvanced = false },
	"skipIsolated":    func(r *safeguards) { r.skipIsolated = false },
	"repointReplicas": func(r *safeguards) { r.repointReplicas = false },
	"resolveSealed":   func(r *safeguards) { r.resolveSealed = false },
}

// TestScripts runs the fault scripts in testdata. The commands are start, kill,
// freeze, cut, slow, lag, rank, leave, seal, refuse, run, count and check.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				seed, err := strconv.ParseUint("0"+argument(d, "seed"), 10, 64)
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				s = newSim(seed, 3, 4, disableSafeguard[argument(d, "off")])
				return ""
			}
			return s.command(NewWithT(t), d)
		})
	})
}

func argument(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return strings.Join(a.Vals, ",")
		}
	}
	return ""
}

func (s *sim) command(g *WithT, d *datadriven.TestData) string {
	span, err := time.ParseDuration(argument(d, "for"))
	g.Expect(err == nil || argument(d, "for") == "").To(BeTrue())
	hosts := s.hosts(argument(d, "host"))
	switch d.Cmd {
	case "run":
		s.runUntil(s.now.Add(span))
	case "kill":
		hosts[0].downUntil = s.now.Add(span)
	case "freeze":
		hosts[0].frozenUntil = s.now.Add(span)
	case "cut":
		for _, o := range s.hosts(argument(d, "from")) {
			s.disconnect(hosts[0], o, span)
		}
	case "slow":
		for _, p := range s.proxies {
			p.slow = span
		}
	case "rank":
		for _, p := range s.proxies {
			p.update(RankChanged{Total: 4})
		}
	case "lag":
		hosts[0].lag = span
	case "leave":
		for _, p := range s.proxies {
			p.update(LeavingChanged{Endpoints: []ident.Endpoint{ident.Endpoint(hosts[0].name)}})
		}
	case "seal":
		_, err := s.server(hosts[0].name).seal(ident.NextTerm(s.primaryTerm, "other"))
		g.Expect(err).NotTo(HaveOccurred())
	case "refuse":
		s.server(hosts[0].name).refusesSeal = true
	case "count":
		return s.count(event.Kind(argument(d, "kind")))
	case "check":
		return s.report()
	default:
		g.Expect(d.Cmd).To(BeEmpty(), "unknown command")
	}
	return s.violation
}

func (s *sim) count(kind event.Kind) string {
	n := 0
	for _, k := range s.events {
		if k == kind {
			n++
		}
	}
	return strconv.Itoa(n)
}

func (s *sim) hosts(name string) (hosts []*host) {
	for _, n := range s.servers {
		if name == n.name || name == "group" || name == "primary" && n == s.primary || name == "replicas" && n != s.primary {
			hosts = append(hosts, &n.host)
		}
	}
	for _, p := range s.proxies {
		if name == p.name || name == "proxies" {
			hosts = append(hosts, &p.host)
		}
	}
	return hosts
}

// report describes the state, with the longest gap between acknowledged writes
// since the last report.
func (s *sim) report() string {
	gap := max(s.gap, s.now.Sub(s.ackedAt))
	within := "longest gap within " + maxGap.String()
	if gap > maxGap {
		within = "longest gap over " + maxGap.String()
	}
	s.gap, s.ackedAt = 0, s.now
	state := s.unsettled()
	if state == "" {
		state = "settled"
	}
	return fmt.Sprintf("primary terms: %d\n%s\n%s %s", len(s.primaries), within, state, s.violation)
}
