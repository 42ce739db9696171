package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is the size of the deployment that a plan is made for.
type Shape struct {
	Groups   int
	Servers  int // per group
	Proxies  int
	Accounts int // number of accounts that may flood
}

const (
	// quietStart and quietEnd are the times without faults at the start and the
	// end of a run.
	quietStart = 5 * time.Second
	quietEnd   = 15 * time.Second
	// meanPause is the mean time between the starts of faults that are not
	// meant to overlap.
	meanPause = 2500 * time.Millisecond
	minPause  = 500 * time.Millisecond
	// killSpacing is the minimum time between kills in one group. A killed
	// endpoint loses its data and has to rejoin before the next kill.
	killSpacing = 10 * time.Second
	// restartTime is how long a proxy counts as down after it ended.
	restartTime = 4 * time.Second

	overlapShare = 0.35
	repeatShare  = 0.2
	maxDraws     = 8
)

// NewPlan returns the faults of a run in the order of their start. The same
// arguments give the same plan. Kinds are drawn from a shuffled deck, so that
// every kind occurs before one is repeated. At any time at least one proxy has
// no fault, and kills in one group are spaced by killSpacing.
func NewPlan(seed uint64, s Shape, length time.Duration) []Fault {
	p := &planner{rng: rand.New(rand.NewPCG(seed, uint64(length))), shape: s, end: length - quietEnd}
	for at := quietStart; at < p.end; at += p.pause() {
		p.add(at)
		for p.rng.Float64() < overlapShare {
			p.add(at + p.between(0, time.Second))
		}
	}
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p.faults
}

type planner struct {
	rng    *rand.Rand
	shape  Shape
	end    time.Duration
	deck   []Kind
	faults []Fault
}

func (p *planner) pause() time.Duration {
	return minPause + time.Duration(p.rng.ExpFloat64()*float64(meanPause-minPause))
}

func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Int64N(int64(high-low)+1))
}

func (p *planner) kind() Kind {
	if len(p.deck) == 0 {
		p.deck = slices.Clone(Kinds)
		p.rng.Shuffle(len(p.deck), func(i, j int) { p.deck[i], p.deck[j] = p.deck[j], p.deck[i] })
	}
	k := p.deck[0]
	p.deck = p.deck[1:]
	return k
}

// add adds a fault and, with probability repeatShare, a repetition soon after
// its end.
func (p *planner) add(at time.Duration) {
	kind := p.kind()
	for range maxDraws {
		f := p.draw(kind, at)
		if !p.allowed(f) {
			continue
		}
		p.faults = append(p.faults, f)
		again := f
		again.At += f.Length + p.between(200*time.Millisecond, 2*time.Second)
		again.Length = max(min(f.Length, p.end-again.At), 0)
		if p.rng.Float64() < repeatShare && kind != FloodAccount && p.allowed(again) {
			p.faults = append(p.faults, again)
		}
		return
	}
}

func (p *planner) draw(kind Kind, at time.Duration) Fault {
	f := Fault{Kind: kind, At: at}
	switch {
	case f.onProxy():
		f.Proxy = p.rng.IntN(p.shape.Proxies)
	case f.onEndpoint():
		f.Group, f.Server = p.rng.IntN(p.shape.Groups), p.server()
	}
	p.size(&f)
	f.Length = max(min(f.Length, p.end-f.At), 0)
	return f
}

// server selects the primary in half of the cases, because its loss has the
// largest effect.
func (p *planner) server() int {
	if p.rng.IntN(2) == 0 {
		return CurrentPrimary
	}
	return p.rng.IntN(p.shape.Servers)
}

// size draws the length and the strength of a fault.
func (p *planner) size(f *Fault) {
	const longest = 8 * time.Second
	f.Length = p.between(time.Second, longest)
	switch f.Kind {
	case KillEndpoint, KillProxy, DrainProxy:
		f.Length = 0
	case PauseEndpoint, PauseProxy:
		f.Length = p.between(500*time.Millisecond, longest)
	case CutPrimary:
		f.Server = CurrentPrimary
	case LagReplicas:
		f.Delay = p.between(200*time.Millisecond, 3*time.Second)
	case SlowStatements:
		f.Delay = p.between(5*time.Millisecond, 200*time.Millisecond)
	case CutAnswers, LoseAnswers:
		f.Count = 1 + p.rng.IntN(5)
	case LeavingEndpoint:
		f.Length = p.between(12*time.Second, 16*time.Second)
	case RefuseStore, SilenceStore:
		f.Length = p.between(time.Second, 15*time.Second)
	case SlowStore:
		f.Delay = p.between(200*time.Millisecond, 5*time.Second)
	case LoseStore:
		f.Count = 10 + p.rng.IntN(50)
	case RaceOperators:
		f.Length, f.Count = 0, 2+p.rng.IntN(3)
	case FloodAccount:
		f.Account, f.Count = p.rng.IntN(p.shape.Accounts), 2+p.rng.IntN(7)
	}
}

func (p *planner) allowed(f Fault) bool {
	if f.At >= p.end {
		return false
	}
	switch {
	case f.Kind == KillEndpoint:
		return !slices.ContainsFunc(p.faults, func(o Fault) bool {
			return o.Kind == KillEndpoint && o.Group == f.Group && (f.At-o.At).Abs() < killSpacing
		})
	case f.Kind == FloodAccount:
		return !slices.ContainsFunc(p.faults, func(o Fault) bool {
			return o.Kind == FloodAccount && o.Account == f.Account
		})
	case f.onProxy():
		return p.leavesProxyUp(f)
	}
	return true
}

// leavesProxyUp reports whether at least one proxy is up while the fault lasts.
func (p *planner) leavesProxyUp(f Fault) bool {
	down := map[int]bool{f.Proxy: true}
	for _, o := range p.faults {
		if o.onProxy() && o.At < f.At+f.Length+restartTime && f.At < o.At+o.Length+restartTime {
			down[o.Proxy] = true
		}
	}
	return len(down) < p.shape.Proxies
}
