package strict

import (
	"fmt"
	"io"
	"os"
)

// ReadFile reads a file for Read. It reads at most one byte more than maxBytes,
// which is enough for Read to report that the text is too large.
func ReadFile(path string, maxBytes int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return text, nil
}
