package strict

import (
	"fmt"
	"io"
	"os"
)

// ReadFile reads a file for Read, and no more of it than Read needs to see
// that it is too large.
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
