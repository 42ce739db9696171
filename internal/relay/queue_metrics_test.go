package relay

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/clock"
	"github.com/marjoramrudder/marjoramrudder/internal/sched"
)

// The gauges must not keep the last value when the queue is empty, and each
// rejection counts under its cause.
func TestQueueMetrics(t *testing.T) {
	atBusyOwner(t, func(g Gomega, _ *Router, o *busyOwner) {
		expired := rejections[sched.WaitedTooLong].Get()
		unreachable := rejections[sched.EndpointsUnreachable].Get() + rejections[sched.PrimaryMissing].Get()
		o.pool.Tick(clock.Now())
		g.Expect(o.pool.gauges.onTime.Get()).To(Equal(3.0))
		g.Expect(o.pool.gauges.late.Get()).To(BeZero())
		time.Sleep(2 * time.Second)
		o.pool.Tick(clock.Now())
		synctest.Wait()
		g.Expect(o.pool.gauges.onTime.Get()).To(BeZero())
		after := rejections[sched.EndpointsUnreachable].Get() + rejections[sched.PrimaryMissing].Get()
		g.Expect(rejections[sched.WaitedTooLong].Get() - expired + after - unreachable).To(Equal(uint64(3)))
	})
}
