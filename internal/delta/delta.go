// Package delta encodes a text as its difference from an earlier one. A delta is a
// sequence of instructions that copy a range of the base or insert bytes. Its size
// follows what changed, not the size of the text.
package delta

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

const (
	// blockBytes is the length of the blocks of the base that are indexed. A range
	// of the target is found in the base if it contains a whole block.
	blockBytes = 64
	// hashFactor is the factor of the rolling hash, an odd number.
	hashFactor = 0x9E3779B97F4A7C15
)

// ErrMalformed reports a delta that does not apply to the base.
var ErrMalformed = errors.New("malformed delta")

// Make returns the delta from base to target. It takes time in proportion to the
// size of both.
func Make(base, target []byte) []byte {
	m := maker{base: base, target: target, index: indexBlocks(base)}
	m.run()
	return m.out
}

// Apply returns the target of a delta, which may have up to maxSize bytes. It
// returns ErrMalformed if the delta is invalid or the target is larger.
func Apply(base, delta []byte, maxSize int) ([]byte, error) {
	var out []byte
	for len(delta) > 0 {
		length, insert, rest, err := readHead(delta, maxSize-len(out))
		if err != nil {
			return nil, err
		}
		if delta = rest; insert {
			if length > len(delta) {
				return nil, errors.Wrapf(ErrMalformed, "%d of %d inserted bytes", len(delta), length)
			}
			out, delta = append(out, delta[:length]...), delta[length:]
			continue
		}
		offset, used := binary.Uvarint(delta)
		if used <= 0 || offset > uint64(len(base)) || length > len(base)-int(offset) {
			return nil, errors.Wrapf(ErrMalformed, "copy of %d bytes at %d of %d", length, offset, len(base))
		}
		out, delta = append(out, base[offset:int(offset)+length]...), delta[used:]
	}
	return out, nil
}

// readHead reads the head of an instruction: its length and whether it inserts
// bytes. The length is at most limit.
func readHead(delta []byte, limit int) (length int, insert bool, rest []byte, err error) {
	head, used := binary.Uvarint(delta)
	if used <= 0 {
		return 0, false, nil, errors.Wrap(ErrMalformed, "head of an instruction")
	}
	if size := head >> 1; size == 0 || size > uint64(limit) {
		return 0, false, nil, errors.Wrapf(ErrMalformed, "instruction of %d bytes, at most %d allowed", size, limit)
	}
	return int(head >> 1), head&1 == 1, delta[used:], nil
}

// indexBlocks returns the offset of the first block with each hash.
func indexBlocks(base []byte) map[uint64]int {
	index := make(map[uint64]int, len(base)/blockBytes)
	for offset := 0; offset+blockBytes <= len(base); offset += blockBytes {
		h := hash(base[offset : offset+blockBytes])
		if _, known := index[h]; !known {
			index[h] = offset
		}
	}
	return index
}

func hash(block []byte) uint64 {
	var h uint64
	for _, b := range block {
		h = h*hashFactor + uint64(b)
	}
	return h
}

// leadingFactor is what the first byte of a block contributes to its hash.
var leadingFactor = func() uint64 {
	f := uint64(1)
	for range blockBytes - 1 {
		f *= hashFactor
	}
	return f
}()

// maker makes one delta.
type maker struct {
	base, target []byte
	index        map[uint64]int
	written      int // bytes of the target that the instructions cover
	out          []byte
}

func (m *maker) run() {
	at := 0
	for at+blockBytes <= len(m.target) {
		at = m.search(at)
	}
	m.insert(len(m.target))
}

// search looks for the next range of the target that is part of the base, beginning
// at the given place, and copies it. It returns where to go on.
func (m *maker) search(at int) int {
	h := hash(m.target[at : at+blockBytes])
	for {
		if offset, ok := m.index[h]; ok && bytes.Equal(m.base[offset:offset+blockBytes], m.target[at:at+blockBytes]) {
			return m.extend(offset, at)
		}
		if at+blockBytes >= len(m.target) {
			return len(m.target)
		}
		h = (h-uint64(m.target[at])*leadingFactor)*hashFactor + uint64(m.target[at+blockBytes])
		at++
	}
}

// extend copies the longest range around a block that begins at the given places of
// the base and the target. It returns the end of the range in the target.
func (m *maker) extend(offset, at int) int {
	for at > m.written && offset > 0 && m.base[offset-1] == m.target[at-1] {
		offset, at = offset-1, at-1
	}
	n := commonPrefix(m.base[offset:], m.target[at:])
	m.copy(offset, at, n)
	return at + n
}

// copy appends an instruction that copies length bytes at offset of the base to the
// given place of the target, after what has to be inserted before.
func (m *maker) copy(offset, at, length int) {
	m.insert(at)
	m.out = binary.AppendUvarint(m.out, uint64(length)<<1)
	m.out = binary.AppendUvarint(m.out, uint64(offset))
	m.written = at + length
}

// insert appends an instruction that inserts the bytes of the target up to end.
func (m *maker) insert(end int) {
	if end == m.written {
		return
	}
	m.out = binary.AppendUvarint(m.out, uint64(end-m.written)<<1|1)
	m.out = append(m.out, m.target[m.written:end]...)
	m.written = end
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}
