package strict

import (
	"fmt"
	"sort"
	"strings"
)

// lines finds the place of an offset.
type lines struct{ starts []int }

func newLines(text []byte) lines {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return lines{starts}
}

func (l lines) place(offset int) Place {
	after := sort.SearchInts(l.starts, offset+1)
	return Place{Line: after, Column: offset - l.starts[after-1] + 1}
}

// maxPath bounds the path of a field. Longer ones are cut, which no field of a
// struct needs, so that nested names cannot exhaust the memory.
const maxPath = 512

const cut = "…"

func join(path, name string) string {
	if path == "" {
		return shorten(name)
	}
	return shorten(path + "." + name)
}

func elementPath(path string, i int) string { return shorten(fmt.Sprintf("%s[%d]", path, i)) }

func shorten(path string) string {
	if len(path) <= maxPath {
		return path
	}
	return path[:maxPath] + cut
}

func parent(field string) string {
	end := strings.LastIndexAny(field, ".[")
	if end < 0 {
		return ""
	}
	return field[:end]
}
