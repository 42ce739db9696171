package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/admin"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
)

// TestKeyIsNeverWritten sends a key in accepted and rejected logins, loses a
// primary in between, and checks that the key appears nowhere that a proxy
// writes to.
func TestKeyIsNeverWritten(t *testing.T) {
	g := NewWithT(t)
	logged := captureLog(t)
	s := newCluster(t, 2)
	for _, e := range s.endpoints {
		e.SetFaults(endpt.Faults{Watch: []string{testKey}})
	}
	conn := s.connect(0, "orders", "")
	s.insertOrder(conn, "o1")
	g.Expect(s.countOrders(s.connect(1, "orders", ""))).To(HaveLen(1))
	_, err := s.tryConnect(0, "nowhere", "")
	g.Expect(err).To(HaveOccurred())
	_, err = s.tryConnect(0, "orders", "&marjoram.session_token=x")
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.endpoints["a1"].Close()).To(Succeed())
	s.insertOrder(conn, "o2")

	for name, e := range s.endpoints {
		counters := e.Counters()
		g.Expect(counters.Watched).To(BeZero(), "key at endpoint %s", name)
		g.Expect(counters.ForeignCredentials).To(BeZero(), "credential at endpoint %s", name)
	}
	for i, records := range eventRecords(g, s) {
		g.Expect(records).NotTo(ContainSubstring(testKey), "event records of proxy %d", i)
		g.Expect(records).To(ContainSubstring("DocumentApplied"))
	}
	var exported bytes.Buffer
	metrics.WritePrometheus(&exported, true)
	g.Expect(exported.String()).To(ContainSubstring("marjoram_writes_total"))
	g.Expect(exported.String()).NotTo(ContainSubstring(testKey))
	s.close()
	g.Expect(logged()).To(ContainSubstring("Document applied"))
	g.Expect(logged()).NotTo(ContainSubstring(testKey))
}

// eventRecords returns the event records of every proxy as JSON.
func eventRecords(g *WithT, s *cluster) []string {
	client := admin.NewClient(peerSecret)
	defer client.Close()
	var list []string
	for _, address := range s.admins {
		events, err := client.Events(context.Background(), address, 0)
		g.Expect(err).NotTo(HaveOccurred())
		text, err := json.Marshal(events)
		g.Expect(err).NotTo(HaveOccurred())
		list = append(list, string(text))
	}
	return list
}

// captureLog captures all log lines of the process at the highest level until
// the test ends. The returned function returns them.
func captureLog(t *testing.T) func() string {
	g := NewWithT(t)
	flags := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(flags)
	state := klog.CaptureState()
	t.Cleanup(state.Restore)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "v": "10"} {
		g.Expect(flags.Set(name, value)).To(Succeed())
	}
	out := &lockedBuffer{}
	klog.SetOutput(out)
	return func() string {
		klog.Flush()
		return out.String()
	}
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
