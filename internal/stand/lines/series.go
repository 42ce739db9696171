package lines

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// seriesStream separates the random numbers of the series from those of the other
	// faults.
	seriesStream = 0x73657269
	// meanSeriesPause is the mean time between two series.
	meanSeriesPause = 2 * time.Second
	// restartTime is about how long an instance that was killed takes to be back, and
	// minStrikeGap and maxStrikeGap how long after that it is struck again.
	restartTime  = 500 * time.Millisecond
	minStrikeGap = 200 * time.Millisecond
	maxStrikeGap = 3 * time.Second
	// strikeSpread is the time within which several instances are struck together.
	strikeSpread = 300 * time.Millisecond
	// minThaw and maxThaw limit how long an instance is frozen in a series.
	minThaw = 300 * time.Millisecond
	maxThaw = 2500 * time.Millisecond
	// minOutage and maxOutage limit an outage of the store beside a series.
	minOutage = 500 * time.Millisecond
	maxOutage = 4500 * time.Millisecond
	// maxCopyAge is how old the copy is at most from which the store comes back.
	maxCopyAge = 6 * time.Second
	// serverQuiet is how long before and after a server starts empty nothing else
	// happens to its group.
	serverQuiet = 6 * time.Second
	// drillTime is how long a drill takes, with the promotion at its end.
	drillTime = 9 * time.Second
)

// strikes are the kinds of faults of a series, as often as each is drawn.
var strikes = []string{"kill", "kill", "kill", "kill", "kill", "kill", "freeze", "stop"}

// seriesPlanner plans series of faults of instances, beside faults of the store and of
// servers.
type seriesPlanner struct {
	random    *rand.Rand
	groups    []*emul.Group
	instances int
	end       time.Duration
	faults    []Fault
	stopped   map[ident.Instance]time.Duration // when each was last stopped
}

// NewSeries returns the faults of servers and of the store that NewPlan draws, and
// series of faults of the instances: one of them, several or all are killed, frozen
// or stopped again and again, shortly after they have started, at times beside an
// outage of the store, its return from an older copy, or a server that starts again
// with an empty log. The same arguments give the same faults, in the order of their
// start.
func NewSeries(seed uint64, groups []*emul.Group, instances int, length time.Duration) []Fault {
	isEvacuation := func(f Fault) bool { return f.DataCentre != "" }
	p := &seriesPlanner{
		random: rand.New(rand.NewPCG(seed^seriesStream, uint64(length))), groups: groups, instances: instances,
		end: length - quietEnd, faults: slices.DeleteFunc(NewPlan(seed, groups, 0, length), isEvacuation), stopped: make(map[ident.Instance]time.Duration),
	}
	for at := quietStart; instances > 0 && at < p.end; at += p.between(0, 2*meanSeriesPause) {
		at = p.series(at)
	}
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p.faults
}

// between draws a time.
func (p *seriesPlanner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.random.Int64N(int64(most-least)))
}

// add adds a fault, unless it is too late for one.
func (p *seriesPlanner) add(f Fault) {
	if f.At < p.end {
		p.faults = append(p.faults, f)
	}
}

// series adds one series that begins at a time, and returns when it ends.
func (p *seriesPlanner) series(at time.Duration) time.Duration {
	at = p.beside(at)
	targets := p.targets()
	gap := restartTime + p.between(minStrikeGap, maxStrikeGap)
	count := 3 + p.random.IntN(10)
	if len(targets) > 1 {
		count = 1 + p.random.IntN(4)
	}
	for range count {
		last := at
		for _, n := range targets {
			last = max(last, p.strike(at+p.between(0, strikeSpread), n))
		}
		at = max(at+gap, last)
	}
	return at
}

// targets draws the instances of a series: one, several or all.
func (p *seriesPlanner) targets() []ident.Instance {
	var all []ident.Instance
	for i := range p.instances {
		all = append(all, instanceName(i))
	}
	p.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	switch draw := p.random.IntN(8); {
	case draw < 5:
		return all[:1]
	case draw < 7:
		return all[:1+p.random.IntN(len(all))]
	}
	return all
}

// strike adds one fault of an instance and returns when it is over. An instance that is
// stopping is killed in place of being frozen: frozen, it could not end in time.
func (p *seriesPlanner) strike(at time.Duration, n ident.Instance) time.Duration {
	kind := strikes[p.random.IntN(len(strikes))]
	if kind == "freeze" && p.stopping(n, at) {
		kind = "kill"
	}
	if kind == "stop" {
		p.stopped[n] = at
	}
	p.add(Fault{At: at, Kind: kind, Instance: n})
	if kind != "freeze" {
		return at
	}
	end := at + p.between(minThaw, maxThaw)
	if at < p.end {
		p.faults = append(p.faults, Fault{At: end, Kind: "thaw", Instance: n})
	}
	return end + minStrikeGap
}

// stopping reports whether an instance may be in a graceful stop.
func (p *seriesPlanner) stopping(n ident.Instance, at time.Duration) bool {
	stopped, ok := p.stopped[n]
	return ok && at < stopped+grace
}

// beside adds a fault of the store or of a server around the start of a series, or a
// drill before it. It returns when the series may begin.
func (p *seriesPlanner) beside(at time.Duration) time.Duration {
	switch p.random.IntN(10) {
	case 0, 1:
		p.outage(at, "storeup", true)
	case 2:
		p.outage(at, "storeup", false)
	case 3:
		p.copied(at)
	case 4, 5:
		p.wipe(at)
	case 6, 7, 8:
		return p.drill(at)
	}
	return at
}

// copied makes the store come back from an older copy beside a series.
func (p *seriesPlanner) copied(at time.Duration) {
	if taken := at - p.between(minOutage, maxCopyAge); taken >= quietStart {
		p.add(Fault{At: taken, Kind: "copy"})
		p.outage(at, "return", false)
	}
}

// drill makes the store come back from an older copy, and returns when it is over. An
// instance is frozen, so that another one owns its groups and replaces a primary that
// fails, with what the store knew before the return; then the instance starts again and
// replaces one with what the store knows afterwards.
func (p *seriesPlanner) drill(at time.Duration) time.Duration {
	owner := instanceName(p.random.IntN(p.instances))
	end := at + drillTime
	i := slices.IndexFunc(p.groups, func(g *emul.Group) bool { return p.quiet(g, at, end) })
	if end >= p.end || i < 0 || p.stopping(owner, at) {
		return at
	}
	g := p.groups[i]
	for _, step := range []Fault{
		{At: 0, Kind: "copy"},
		{At: 100 * time.Millisecond, Kind: "freeze", Instance: owner},
		{At: 1700 * time.Millisecond, Kind: failKind, Group: g.Name()},
		{At: 3400 * time.Millisecond, Kind: "thaw", Instance: owner},
		{At: 3600 * time.Millisecond, Kind: "storedown"},
		{At: 4200 * time.Millisecond, Kind: "return"},
		{At: 4400 * time.Millisecond, Kind: "kill", Instance: owner},
		{At: 6500 * time.Millisecond, Kind: failKind, Group: g.Name()},
	} {
		step.At += at
		p.add(step)
	}
	return end
}

// outage makes the store unavailable. The entries of the servers may lapse meanwhile.
func (p *seriesPlanner) outage(at time.Duration, end string, lapse bool) {
	span := p.between(minOutage, maxOutage)
	if at+span >= p.end {
		return
	}
	p.add(Fault{At: at, Kind: "storedown"})
	if lapse {
		p.add(Fault{At: at + span/2, Kind: "lapse"})
	}
	p.add(Fault{At: at + span, Kind: end})
}

// wipe lets a server of a group without other faults crash and start again with an
// empty log.
func (p *seriesPlanner) wipe(at time.Duration) {
	g := p.groups[p.random.IntN(len(p.groups))]
	s := g.Servers()[p.random.IntN(len(g.Servers()))]
	back := at + p.between(minThaw, maxThaw)
	if back+serverQuiet >= p.end || !p.quiet(g, at-serverQuiet, back+serverQuiet) {
		return
	}
	p.add(Fault{At: at, Kind: "crash", Server: s.ID()})
	p.add(Fault{At: back, Kind: "wipe", Server: s.ID()})
}

// quiet reports whether the servers of a group have no fault in a time.
func (p *seriesPlanner) quiet(g *emul.Group, from, until time.Duration) bool {
	return !slices.ContainsFunc(p.faults, func(f Fault) bool {
		concerns := f.Server != "" && g.Has(f.Server) || f.Group == g.Name()
		return concerns && f.At > from && f.At < until
	})
}
