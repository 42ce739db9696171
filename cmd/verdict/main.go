// Command verdict evaluates `go test -json` output from standard input. It
// fails if a test fails that KNOWN-RED.txt doesn't list, and prints the listed
// tests that failed. The exit codes are: 0 success, 1 unlisted failure or no
// passed test, 2 unreadable input.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

const knownRedFile = "KNOWN-RED.txt"

// record is one event of `go test -json`.
type record struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// tally counts test results and collects the output of failed tests.
type tally struct {
	passed, failed, skipped int
	known                   []string
	unlisted                []string
	output                  map[string]*strings.Builder
}

func main() {
	known, err := readKnownRed(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	t := &tally{output: map[string]*strings.Builder{}}
	if err := t.read(os.Stdin, known); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	t.print(os.Stdout)
	if len(t.unlisted) > 0 || t.passed == 0 {
		os.Exit(1)
	}
}

func readKnownRed(path string) (map[string]bool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read known failures: %w", err)
	}
	known := map[string]bool{}
	for l := range strings.Lines(string(text)) {
		name, _, _ := strings.Cut(l, "|")
		name = strings.TrimSpace(name)
		if name != "" && !strings.HasPrefix(name, "#") {
			known[name] = true
		}
	}
	return known, nil
}

func (t *tally) read(r io.Reader, known map[string]bool) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var l record
		if json.Unmarshal(scanner.Bytes(), &l) != nil {
			t.unlisted = append(t.unlisted, "not a test record: "+scanner.Text())
			continue
		}
		t.add(l, known)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read test output: %w", err)
	}
	return nil
}

func (t *tally) add(l record, known map[string]bool) {
	name := l.Package + "." + l.Test
	switch l.Action {
	case "output", "build-output":
		t.appendOutput(name, l.Output)
	case "pass":
		if l.Test != "" {
			t.passed++
		}
		delete(t.output, name)
	case "skip":
		if l.Test != "" {
			t.skipped++
		}
	case "fail", "build-fail":
		t.fail(l, name, known)
	}
}

func (t *tally) appendOutput(name, text string) {
	if t.output[name] == nil {
		t.output[name] = &strings.Builder{}
	}
	t.output[name].WriteString(text)
}

// fail records one failure. A failed package is recorded only if none of its
// tests failed, such as after a build error.
func (t *tally) fail(l record, name string, known map[string]bool) {
	if l.Test == "" {
		if t.hasFailedTest(l.Package) {
			return
		}
		t.unlisted = append(t.unlisted, l.Package)
		return
	}
	t.failed++
	if known[name] {
		t.known = append(t.known, name)
		return
	}
	t.unlisted = append(t.unlisted, name)
}

// hasFailedTest reports whether a failed test of a package has been recorded.
func (t *tally) hasFailedTest(pkg string) bool {
	for _, n := range append(append([]string(nil), t.known...), t.unlisted...) {
		if strings.HasPrefix(n, pkg+".") {
			return true
		}
	}
	return false
}

func (t *tally) print(w io.Writer) {
	for _, n := range t.unlisted {
		_, _ = fmt.Fprintf(w, "--- FAIL: %s\n", n)
		if o := t.output[n]; o != nil {
			_, _ = fmt.Fprint(w, o.String())
		} else if o := t.output[n+"."]; o != nil {
			_, _ = fmt.Fprint(w, o.String())
		}
	}
	for _, n := range t.known {
		_, _ = fmt.Fprintf(w, "known red: %s\n", n)
	}
	_, _ = fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", t.passed, t.failed, t.skipped)
}
