package slope

import (
	"bytes"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/pprof/profile"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/exper"
	"github.com/marjoramrudder/marjoramrudder/internal/stand/plat"
)

// counts holds counters summed over all instances of the process.
type counts struct {
	messages float64
	bytes    float64
	heads    float64 // bytes of Head messages, included in bytes
	quota    float64 // bytes of lease and token messages, included in bytes
	probes   float64
	store    plat.Counters
}

func readCounts(d *exper.Deployment) counts {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	lines := strings.Split(text.String(), "\n")
	return counts{
		messages: sum(lines, "marjoram_peer_messages_sent_total"),
		bytes:    sum(lines, "marjoram_peer_bytes_sent_total"),
		heads:    sum(lines, `marjoram_peer_bytes_sent_total{type="Head"}`),
		quota:    sum(lines, `marjoram_peer_bytes_sent_total{type="Lease`) + sum(lines, `marjoram_peer_bytes_sent_total{type="Token`),
		probes:   sum(lines, "marjoram_group_probes_total"),
		store:    d.Platform.Counters(),
	}
}

// sum adds the values of the metrics whose names start with prefix.
func sum(lines []string, prefix string) float64 {
	total := 0.0
	for _, l := range lines {
		if !strings.HasPrefix(l, prefix) {
			continue
		}
		v, err := strconv.ParseFloat(l[strings.LastIndexByte(l, ' ')+1:], 64)
		if err == nil {
			total += v
		}
	}
	return total
}

// cpuMeter measures the processor time of the process with a CPU profile.
type cpuMeter struct{ text bytes.Buffer }

func (m *cpuMeter) start() error {
	return errors.Wrap(pprof.StartCPUProfile(&m.text), "start profile")
}

// stop returns the processor time of the instances and of the whole process, in
// seconds.
func (m *cpuMeter) stop() (instances, process float64, err error) {
	pprof.StopCPUProfile()
	p, err := profile.Parse(&m.text)
	if err != nil {
		return 0, 0, errors.Wrap(err, "parse profile")
	}
	for _, s := range p.Sample {
		seconds := float64(s.Value[len(s.Value)-1]) / 1e9
		process += seconds
		if s.HasLabel("role", "instance") {
			instances += seconds
		}
	}
	return instances, process, nil
}

// memory returns the bytes of live objects and stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
