package envdoc_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/strict"
)

const smallText = `Environment = "trial"

[[Groups]]
Name = "orders"

[[Groups.Endpoints]]
Name = "orders-1"
Address = "127.0.0.1:7001"
DataCentre = "milano-a"
Slots = 2
Connections = 16

[[Routes]]
Name = "orders"
Group = "orders"
Access = "Keyed"

[[Accounts]]
Name = "shop"
Rate = 100
Burst = 20
`

// TestParseScripts runs the scripts of testdata/parse. The directive "parse"
// prints ok or every problem, "marshal" prints the canonical text.
func TestParseScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			document, err := envdoc.Parse([]byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			if d.Cmd == "parse" {
				return "ok\n"
			}
			text, err := envdoc.Marshal(document)
			if err != nil {
				return err.Error()
			}
			return string(text)
		})
	})
}

func TestTooLargeTextIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := envdoc.Parse([]byte(smallText + "#" + strings.Repeat("x", envdoc.MaxBytes)))
	var problems strict.FieldErrors
	g.Expect(err).To(BeAssignableToTypeOf(problems))
	g.Expect(err.Error()).To(ContainSubstring("at most 4194304 bytes"))
}

func TestKeysAreAddedAndRevoked(t *testing.T) {
	g := NewWithT(t)
	d, err := envdoc.Parse([]byte(smallText))
	g.Expect(err).NotTo(HaveOccurred())
	hash := envdoc.HashKey(envdoc.NewKey())

	added, err := d.AddKey("shop", hash)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Accounts[0].Keys).To(BeEmpty(), "the first document must not change")
	g.Expect(added.Accounts[0].Keys).To(Equal([]envdoc.KeyHash{hash}))
	g.Expect(envdoc.Check(added)).To(Succeed())

	_, err = added.AddKey("shop", hash)
	g.Expect(err).To(MatchError(envdoc.ErrKeyExists))
	_, err = d.AddKey("nobody", hash)
	g.Expect(err).To(MatchError(envdoc.ErrNoAccount))
	_, err = d.AddKey("shop", "mk_secret")
	g.Expect(err).To(MatchError(envdoc.ErrBadHash))

	revoked, err := added.RevokeKey("shop", hash)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revoked).To(Equal(d))
	_, err = revoked.RevokeKey("shop", hash)
	g.Expect(err).To(MatchError(envdoc.ErrNoKey))
}

func TestPlaintextKeyIsNotShown(t *testing.T) {
	g := NewWithT(t)
	_, err := envdoc.Parse([]byte(smallText + "Keys = [\"mk_secret\"]\n"))
	g.Expect(err).To(MatchError(ContainSubstring("Accounts[0].Keys[0]: not a key hash")))
	g.Expect(err.Error()).NotTo(ContainSubstring("mk_secret"))
}

func FuzzParse(f *testing.F) {
	f.Add(smallText)
	f.Add("Environment = 3\n[[Groups]]\n[Groups.x]\n[[Groups.Endpoints]]\nSlots = \"a\"")
	f.Add("Groups = [{Name = \"a\", Endpoints = [{Slots = 1}]}, 3]\nRoutes.x = 1979-05-27")
	f.Add("\"\\u0041\".'b' = [[], {a.b = 1}]")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := envdoc.Parse([]byte(text))
		if err != nil {
			return
		}
		printed, err := envdoc.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		back, err := envdoc.Parse(printed)
		if err != nil || !reflect.DeepEqual(back, d) {
			t.Fatalf("%q does not round-trip: %v", text, err)
		}
	})
}
