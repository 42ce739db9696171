// Package meter observes the arrival of data, so that a transfer can be judged by its
// progress.
package meter

import "io"

// Reader calls a function whenever data arrives.
type Reader struct {
	source  io.Reader
	arrived func(size int)
}

// NewReader returns a reader of source that calls arrived with the number of bytes of
// each read that returned any.
func NewReader(source io.Reader, arrived func(size int)) *Reader {
	return &Reader{source: source, arrived: arrived}
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.arrived(n)
	}
	return n, err
}
