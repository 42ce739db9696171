// Package trace writes the structured log of a process as JSON lines. A line
// names a decision, its inputs with their age, and its outcome. Writing never
// blocks: lines that exceed the rate limit or that the reader is too slow for
// are dropped and counted.
package trace

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

const (
	// maxQueuedLines limits the lines queued for a slow reader. At about 300
	// bytes a line this is 1.2 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond limits the volume of a process to about 300 kB per
	// second.
	maxLinesPerSecond = 1000
	// flushTimeout is how long Close waits for the reader, which may have
	// stopped.
	flushTimeout = 200 * time.Millisecond
)

var dropped = metrics.GetOrCreateCounter("marjoram_log_dropped_total")

// Sink writes log lines in its own goroutine.
type Sink struct {
	out             io.Writer
	lines           chan []byte
	tasks           *tasks.Group
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), tasks: tasks.New(context.Background())}
	s.tasks.Go(s.drain)
	return s
}

// Write implements io.Writer for a single line. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.allow(time.Now().Unix()) {
		dropped.Inc()
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		dropped.Inc()
	}
	return len(line), nil
}

// Close waits until the queued lines are written, or until the timeout if the
// reader has stopped, and then for the goroutine.
func (s *Sink) Close() error {
	deadline := time.Now().Add(flushTimeout)
	for len(s.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return s.tasks.Close()
}

func (s *Sink) allow(second int64) bool {
	if s.currentSecond.Swap(second) != second {
		s.linesThisSecond.Store(0)
	}
	return s.linesThisSecond.Add(1) <= maxLinesPerSecond
}

func (s *Sink) drain(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-s.lines:
			if _, err := s.out.Write(line); err != nil {
				dropped.Inc()
			}
		}
	}
}

// Install sends the logs of slog and klog of this process to out and adds the
// instance to each line.
func Install(out io.Writer, instance string) *Sink {
	s := NewSink(out)
	logger := slog.New(slog.NewJSONHandler(s, nil)).With("Instance", instance)
	slog.SetDefault(logger)
	klog.SetSlogLogger(logger)
	return s
}

// Event writes one line. Each pair is a name in Pascal case and a value.
func Event(name string, pairs ...any) { slog.Default().Info(name, pairs...) }

// Failure writes one line about an error.
func Failure(name string, err error, pairs ...any) {
	slog.Default().Error(name, append(pairs, "Error", err.Error())...)
}
