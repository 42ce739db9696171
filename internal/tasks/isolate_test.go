package tasks_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

// A panic in one session ended the process and cut all other sessions.
func TestIsolateTurnsPanicIntoError(t *testing.T) {
	g := NewWithT(t)
	err := tasks.Isolate(func() error {
		var position []int
		_ = position[len(position)]
		return nil
	})
	var p *tasks.PanicError
	g.Expect(errors.As(err, &p)).To(BeTrue())
	g.Expect(p.Error()).To(ContainSubstring("out of range"))
	g.Expect(p.Error()).To(ContainSubstring("isolate_test.go"), "the stack shows where")

	failed := errors.New("failed")
	g.Expect(tasks.Isolate(func() error { return failed })).To(Equal(failed))
	g.Expect(tasks.Isolate(func() error { return nil })).To(Succeed())
}

// A test must not pass over a violated invariant in a session.
func TestIsolateKeepsViolations(t *testing.T) {
	g := NewWithT(t)
	g.Expect(func() {
		_ = tasks.Isolate(func() error { panic(assert.Violation("broken")) })
	}).To(Panic())
}
