package frame_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/frame"
)

const limit = 100

func header(kind byte, length uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, length)
}

func TestFrameLimits(t *testing.T) {
	cases := map[string]struct {
		input []byte
		err   error
	}{
		"empty body":        {frame.Append(nil, 'Q', nil), nil},
		"largest body":      {frame.Append(nil, 'Q', make([]byte, limit)), nil},
		"one byte too many": {frame.Append(nil, 'Q', make([]byte, limit+1)), frame.ErrTooLarge},
		"largest length":    {header('Q', 1<<32-1), frame.ErrTooLarge},
		"length too short":  {header('Q', 3), frame.ErrMalformed},
		"no header":         {[]byte{'Q', 0}, io.EOF},
		"half a body":       {append(header('Q', 10), 'x'), io.ErrUnexpectedEOF},
	}
	for name, c := range cases {
		g := NewWithT(t)
		kind, body, err := frame.NewReader(bytes.NewReader(c.input), limit).Next()
		if c.err != nil {
			g.Expect(errors.Is(err, c.err)).To(BeTrue(), "%s: %v", name, err)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(frame.Append(nil, kind, body)).To(Equal(c.input), name)
	}
}

// FuzzReader reads frames from arbitrary bytes. Reading must end with an error,
// respect the limit and return exactly the bytes of the input.
func FuzzReader(f *testing.F) {
	f.Add(frame.Append(frame.Append(nil, 'P', []byte("a")), 'S', nil))
	f.Add(header('Q', 1<<31))
	f.Fuzz(func(t *testing.T, input []byte) {
		r, read := frame.NewReader(bytes.NewReader(input), limit), []byte(nil)
		for {
			kind, body, err := r.Next()
			if err != nil {
				break
			}
			if len(body) > limit {
				t.Fatalf("body of %d bytes", len(body))
			}
			read = frame.Append(read, kind, body)
		}
		if !bytes.HasPrefix(input, read) {
			t.Fatalf("read %q of %q", read, input)
		}
		_, _ = frame.NewReader(bytes.NewReader(input), limit).Startup()
	})
}
