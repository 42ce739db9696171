package lines

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/emul"
)

const (
	// quietStart and quietEnd are the times without faults at the start and the
	// end of a run.
	quietStart = 4 * time.Second
	quietEnd   = 12 * time.Second
	// meanPause is the mean time between the starts of two faults.
	meanPause = 1500 * time.Millisecond
	// The length of a fault that has an end.
	minLength = 300 * time.Millisecond
	maxLength = 5 * time.Second
	// storeLinks is the inverse of the share of the faults of connections that
	// concern the store.
	storeLinks = 3
	// settleTime is how long a server or an instance is left alone after a
	// fault. It covers the graceful stop and the restart of an instance.
	settleTime = 8 * time.Second
)

// repairs maps the kinds of faults that a plan draws to the kinds that end them.
// A fault without a repair ends by itself.
var repairs = map[string]string{
	"crash": "restart", "dark": "mend", "deaf": "mend", "cut": "mend",
	"slow": "clear", "silent": "clear", "oneway": "clear", "reset": "",
	"storedown": "storeup",
	"freeze":    "thaw", "kill": "", "stop": "", "reload": "",
}

// NewPlan returns random faults of servers, the store and the instances n1, n2
// and so on, in the order of their start. The same arguments give the same plan.
// Faults overlap, but each group has at most one faulty server at a time. Apart
// from rolling stops, at most one instance is affected, and one more always
// stays. Without instances, none of them is affected. Data centres are evacuated
// if the servers are in several.
func NewPlan(seed uint64, groups []*emul.Group, instances int, length time.Duration) []Fault {
	p := &planner{
		random: rand.New(rand.NewPCG(seed, uint64(length))), groups: groups, instances: instances,
		free: make(map[string]time.Duration),
	}
	kinds := slices.Sorted(maps.Keys(repairs))
	end := length - quietEnd
	for at := quietStart; at < end; at += time.Duration(p.random.ExpFloat64() * float64(meanPause)) {
		f := Fault{At: at, Kind: kinds[p.random.IntN(len(kinds))]}
		span := minLength + time.Duration(p.random.Int64N(int64(maxLength-minLength)))
		if area := p.aim(&f); area != "" {
			p.add(f, area, min(span, end-at))
		}
	}
	evacuations := planEvacuations(seed, p.faults, groups, length)
	p.faults = append(p.faults, planRolls(seed, p.faults, instances, length)...)
	p.faults = append(p.faults, evacuations...)
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p.faults
}

type planner struct {
	random    *rand.Rand
	groups    []*emul.Group
	instances int
	faults    []Fault
	free      map[string]time.Duration // when an area may have the next fault
}

// The areas that are not groups.
const (
	storeArea    = "store"
	instanceArea = "instances"
)

// aim draws the target of a fault and returns its area, or an empty name if
// there is no target.
func (p *planner) aim(f *Fault) string {
	switch {
	case instanceFaults[f.Kind] != 0 && p.instances == 0:
		return ""
	case instanceFaults[f.Kind] != 0:
		f.Instance = instanceName(p.random.IntN(p.instances))
		return instanceArea
	case serverFaults[f.Kind] != nil, linkFaults[f.Kind] != nil && p.random.IntN(storeLinks) != 0:
		g := p.groups[p.random.IntN(len(p.groups))]
		f.Server = g.Servers()[p.random.IntN(len(g.Servers()))].ID()
		return string(g.Name())
	}
	return storeArea
}

// add adds a fault and its repair, unless its area is still affected.
func (p *planner) add(f Fault, area string, span time.Duration) {
	if f.At < p.free[area] {
		return
	}
	p.faults = append(p.faults, f)
	if repair := repairs[f.Kind]; repair != "" {
		end := f
		end.At, end.Kind = f.At+span, repair
		p.faults = append(p.faults, end)
	}
	p.free[area] = f.At + span + settleTime
	if area == storeArea {
		p.free[area] = f.At + 2*span
	}
}
