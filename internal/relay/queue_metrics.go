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

// queueGauges are the waiting calls of a group by state, and the running ones whose
// answers are overdue. They are created when the first call waits, because most
// instances own few of the groups.
type queueGauges struct{ onTime, late, overdue *metrics.Gauge }

func (q *queueGauges) set(g ident.Group, onTime, late, overdue int) {
	if q.onTime == nil {
		if onTime+late+overdue == 0 {
			return
		}
		gauge := func(state string) *metrics.Gauge {
			return metrics.GetOrCreateGauge(fmt.Sprintf("marjoram_waiting_calls{group=%q,state=%q}", string(g), state), nil)
		}
		q.onTime, q.late = gauge("OnTime"), gauge("Late")
		q.overdue = metrics.GetOrCreateGauge(fmt.Sprintf("marjoram_overdue_calls{group=%q}", string(g)), nil)
	}
	q.onTime.Set(float64(onTime))
	q.late.Set(float64(late))
	q.overdue.Set(float64(overdue))
}

// recordWaiting updates the gauges of the queue.
func (p *GroupPool) recordWaiting(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	onTime, late := p.scheduler.WaitingCalls(now)
	p.gauges.set(p.group, onTime, late, p.scheduler.OverdueCalls(now))
}
