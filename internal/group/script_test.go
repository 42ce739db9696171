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

var switches = map[string]func(*rules){
	"":               nil,
	"askReplicas":    func(r *rules) { r.askReplicas = false },
	"sealMajority":   func(r *rules) { r.sealMajority = false },
	"mostAdvanced":   func(r *rules) { r.mostAdvanced = false },
	"skipCutOff":     func(r *rules) { r.skipCutOff = false },
	"guideFollowers": func(r *rules) { r.guideFollowers = false },
	"unstick":        func(r *rules) { r.unstick = false },
}

// TestScripts runs the scripted faults under testdata. The commands are start,
// kill, freeze, cut, slow, lag, rank, leave, seal, refuse, run, count and check.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				seed, err := strconv.ParseUint("0"+argument(d, "seed"), 10, 64)
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				s = newSim(seed, 3, 4, switches[argument(d, "off")])
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
			s.cutPair(hosts[0], o, span)
		}
	case "slow":
		for _, p := range s.proxies {
			p.slow = span
		}
	case "rank":
		for _, p := range s.proxies {
			p.update(RankChanged{Of: 4})
		}
	case "lag":
		hosts[0].lag = span
	case "leave":
		for _, p := range s.proxies {
			p.update(LeavingChanged{Endpoints: []ident.Endpoint{ident.Endpoint(hosts[0].name)}})
		}
	case "seal":
		_, err := s.server(hosts[0].name).seal(ident.NextTerm(s.topTerm, "other"))
		g.Expect(err).NotTo(HaveOccurred())
	case "refuse":
		s.server(hosts[0].name).silent = true
	case "count":
		return s.count(event.Kind(argument(d, "kind")))
	case "check":
		return s.report()
	default:
		g.Expect(d.Cmd).To(BeEmpty(), "unknown command")
	}
	return s.broken
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
		if name == n.name || name == "group" || name == "primary" && n == s.top || name == "replicas" && n != s.top {
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

// report tells the state since the last report.
func (s *sim) report() string {
	gap := max(s.gap, s.now.Sub(s.ackedAt))
	within := "longest gap within " + gapBound.String()
	if gap > gapBound {
		within = "longest gap over " + gapBound.String()
	}
	s.gap, s.ackedAt = 0, s.now
	state := s.settled()
	if state == "" {
		state = "settled"
	}
	return fmt.Sprintf("reigns: %d\n%s\n%s %s", len(s.reigns), within, state, s.broken)
}
