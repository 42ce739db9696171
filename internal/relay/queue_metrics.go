package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marjoramrudder/marjoramrudder/internal/sched"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// rejections counts the calls that the queues of this instance rejected, by
// cause.
var rejections = newRejectionCounters()

func newRejectionCounters() map[sched.RejectCause]*metrics.Counter {
	all := make(map[sched.RejectCause]*metrics.Counter)
	for _, c := range sched.RejectCauses() {
		all[c] = metrics.NewCounter(fmt.Sprintf("marjoram_rejections_total{cause=%q}", c))
	}
	return all
}

// waitingGauges are the waiting calls of a group by state. They are created when
// the first call waits, because most instances own few of the groups.
type waitingGauges struct{ onTime, late *metrics.Gauge }

func (w *waitingGauges) set(g ident.Group, onTime, late int) {
	if w.onTime == nil {
		if onTime+late == 0 {
			return
		}
		gauge := func(state string) *metrics.Gauge {
			return metrics.GetOrCreateGauge(fmt.Sprintf("marjoram_waiting_calls{group=%q,state=%q}", string(g), state), nil)
		}
		w.onTime, w.late = gauge("OnTime"), gauge("Late")
	}
	w.onTime.Set(float64(onTime))
	w.late.Set(float64(late))
}

// recordWaiting updates the gauges of the waiting calls.
func (p *GroupPool) recordWaiting(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	onTime, late := p.scheduler.WaitingCalls(now)
	p.gauges.set(p.group, onTime, late)
}
