// Package trace writes the structured log of a process: JSON lines that name a
// decision, its inputs with their age, and its outcome. Writing never blocks:
// lines that the reader or the budget has no room for are dropped and counted.
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
	// queueLines bounds the lines that wait for a slow reader; at about 300
	// bytes a line this is 1.2 MB.
	queueLines = 4096
	// linesPerSecond bounds the volume of one process at about 300 kB a second.
	linesPerSecond = 1000
	// flushTime is how long Close waits for a reader that may have stopped.
	flushTime = 200 * time.Millisecond
)

var dropped = metrics.GetOrCreateCounter("marjoram_log_dropped_total")

// Sink takes log lines and writes them in a goroutine of its own.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	group   *tasks.Group
	second  atomic.Int64
	written atomic.Int64
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), group: tasks.New(context.Background())}
	s.group.Go(s.drain)
	return s
}

// Write implements io.Writer for one line. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.admit(time.Now().Unix()) {
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

// Close writes what is queued, unless the reader has stopped, and waits for
// the goroutine.
func (s *Sink) Close() error {
	deadline := time.Now().Add(flushTime)
	for len(s.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return s.group.Close()
}

func (s *Sink) admit(second int64) bool {
	if s.second.Swap(second) != second {
		s.written.Store(0)
	}
	return s.written.Add(1) <= linesPerSecond
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

// Install makes out the destination of this process's log, of slog and of klog
// alike, and names the instance on each line.
func Install(out io.Writer, instance string) *Sink {
	s := NewSink(out)
	logger := slog.New(slog.NewJSONHandler(s, nil)).With("Instance", instance)
	slog.SetDefault(logger)
	klog.SetSlogLogger(logger)
	return s
}

// Event writes one line. The pairs are a name in Pascal case and a value each.
func Event(name string, pairs ...any) { slog.Default().Info(name, pairs...) }

// Failure writes one line about something that failed.
func Failure(name string, err error, pairs ...any) {
	slog.Default().Error(name, append(pairs, "Error", err.Error())...)
}
