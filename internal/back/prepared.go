package back

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marjoramrudder/marjoramrudder/internal/stmt"
)

const nameHashBytes = 12

// NewPrepared returns a statement with its name on endpoint connections.
func NewPrepared(text stmt.Text, types []uint32) *Prepared {
	h := sha256.New()
	_, _ = h.Write([]byte(text.SQL))
	var b [4]byte
	for _, t := range types {
		binary.BigEndian.PutUint32(b[:], t)
		_, _ = h.Write(b[:])
	}
	sum := h.Sum(nil)
	return &Prepared{Text: text, Types: types, name: "m_" + hex.EncodeToString(sum[:nameHashBytes])}
}

// Bind returns the step for the Bind message m, renamed to the statement's name
// on endpoint connections.
func (p *Prepared) Bind(m pgproto3.Bind) (Step, error) {
	m.PreparedStatement = p.name
	raw, err := m.Encode(nil)
	return Step{Op: OpBind, Statement: p, Raw: raw}, err
}
