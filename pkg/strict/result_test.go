package strict_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/strict"
)

const maxBytes = 1 << 20

type document struct {
	Name  string
	Inner struct{ Numbers []int }
}

func read(text string) (document, error) {
	var s document
	err := strict.Read([]byte(text), maxBytes, &s).Err()
	return s, err
}

func TestValidTextFillsTheStruct(t *testing.T) {
	g := NewWithT(t)
	s, err := read("Name = \"a\"\nInner.Numbers = [1, 2]\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Name).To(Equal("a"))
	g.Expect(s.Inner.Numbers).To(Equal([]int{1, 2}))
}

func TestPositionsCountFromOne(t *testing.T) {
	g := NewWithT(t)
	_, err := read("Name = 1\n[Inner]\n  Numbers = [\n    1,\n    # a comment\n    \"two\",\n  ]\n")
	g.Expect(err).To(MatchError("1:1: Name: wrong type: an integer; allowed: a string\n" +
		"6:5: Inner.Numbers[1]: wrong type: a string; allowed: an integer"))
}

// TestHostileTextIsBounded reads small texts that could take an excessive
// amount of time or memory.
func TestHostileTextIsBounded(t *testing.T) {
	const timeout = 5 * time.Second
	for name, text := range map[string]string{
		"dotted key":     strings.Repeat("a.", maxBytes/2-10) + "a = 1",
		"table header":   "[" + strings.Repeat("a.", maxBytes/2-10) + "a]",
		"nested arrays":  "a = " + strings.Repeat("[", maxBytes/2) + strings.Repeat("]", maxBytes/2-10),
		"nested tables":  strings.Repeat("a={", maxBytes/4) + strings.Repeat("}", maxBytes/4),
		"unknown fields": unknownFields(),
		"inline fields":  "Inner = {" + strings.ReplaceAll(strings.TrimSpace(unknownFields()), "\n", ", ") + "}",
		"long name":      strings.Repeat("a", maxBytes-10) + " = 1",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Now()
			_, err := read(text)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<", timeout))
		})
	}
}

// TestManyElementsAreNotManyFields reads arrays with more elements than a table
// may have fields.
func TestManyElementsAreNotManyFields(t *testing.T) {
	g := NewWithT(t)
	type list struct {
		Items []struct{ Sub []struct{ N int } }
	}
	var l list
	text := strings.Repeat("[[Items]]\n[[Items.Sub]]\nN = 1\n[[Items.Sub]]\nN = 2\n", 1000)
	g.Expect(strict.Read([]byte(text), maxBytes, &l).Err()).To(Succeed())
	g.Expect(l.Items).To(HaveLen(1000))
	g.Expect(l.Items[999].Sub[1].N).To(Equal(2))
}

func unknownFields() string {
	var b strings.Builder
	for i := range maxBytes / 16 {
		fmt.Fprintf(&b, "field%d = 1\n", i)
	}
	return b.String()
}
