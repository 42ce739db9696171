package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/endpt"
)

// TestCutLargeAnswerIsNeverPatched reads rows that are too large to be held
// back, from endpoints that cut the answer. Half of an answer has reached the
// caller, so that it must not be followed by another endpoint's rows.
func TestCutLargeAnswerIsNeverPatched(t *testing.T) {
	g := NewWithT(t)
	s := newSet(t, 1)
	conn := s.connect(0, "orders", "")
	const rows = 8
	for i := range rows {
		id := fmt.Sprint("o", i) + strings.Repeat("x", 64<<10)
		s.order(conn, id)
	}
	one, after := int64(1), int64(200<<10)
	for _, e := range s.endpoints {
		e.SetFaults(endpt.Faults{CutAnswers: &one, CutAfter: &after})
	}
	shown := conn.PgConn().ParameterStatus("marjoram.session_token")
	reader := s.connect(0, "stock", "&marjoram.session_token="+shown)
	seen := 0
	result, err := reader.Query(context.Background(), "SELECT id FROM orders", pgx.QueryExecModeSimpleProtocol)
	g.Expect(err).NotTo(HaveOccurred())
	for result.Next() {
		seen++
	}
	g.Expect(code(result.Err())).To(Equal("08007"))
	g.Expect(seen).To(And(BeNumerically(">", 0), BeNumerically("<", rows)))
	g.Expect(s.stored(conn)).To(HaveLen(rows))
}
