package strict

import (
	"fmt"
	"sort"
	"strings"
)

// lines converts byte offsets to positions.
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

func (l lines) position(offset int) Position {
	line := sort.SearchInts(l.starts, offset+1)
	return Position{Line: line, Column: offset - l.starts[line-1] + 1}
}

// maxPathBytes limits the path of a field, so that deeply nested names cannot
// exhaust memory. Longer paths are truncated. No field of a real struct has
// such a path.
const maxPathBytes = 512

const ellipsis = "…"

func join(path, name string) string {
	if path == "" {
		return truncate(name)
	}
	return truncate(path + "." + name)
}

func elementPath(path string, i int) string { return truncate(fmt.Sprintf("%s[%d]", path, i)) }

func truncate(path string) string {
	if len(path) <= maxPathBytes {
		return path
	}
	return path[:maxPathBytes] + ellipsis
}

func parent(field string) string {
	end := strings.LastIndexAny(field, ".[")
	if end < 0 {
		return ""
	}
	return field[:end]
}
