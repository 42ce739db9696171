package engine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
)

// A statement of an instance of a later version, with a kind that is unknown
// here, caused a panic when it was logged.
func TestUnknownKindHasNoName(t *testing.T) {
	NewWithT(t).Expect(engine.Op(200).String()).To(BeEmpty())
}
