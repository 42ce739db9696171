package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, in order.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecord() *record { return &record{began: time.Now()} }

// note adds one line with the time since the start of the case.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// write writes the lines to a file and the conclusion to standard output.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if strings.Contains(l, "violation:") || strings.Contains(l, "exit status") || strings.Contains(l, "not run:") {
			fmt.Println(l)
		}
	}
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
