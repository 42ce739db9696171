package examples_test

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// size is the expected size of an example deployment.
type size struct {
	directory   string
	dataCentres []ident.DataCentre
	slots       int
	connections int
}

const (
	groups    = 3
	endpoints = 3
	accounts  = 8
)

var sizes = []size{
	{"carbonella", []ident.DataCentre{"milano-a", "brescia-b", "verona-c", "piacenza-d"}, 2, 16},
	{"tamarind", []ident.DataCentre{"mu-north-a", "mu-north-b", "mu-north-c"}, 3, 36},
}

func TestDocumentSizes(t *testing.T) {
	for _, s := range sizes {
		g := NewWithT(t)
		text, err := os.ReadFile(filepath.Join(s.directory, "production.toml"))
		g.Expect(err).NotTo(HaveOccurred())
		d, err := envdoc.Parse(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Groups).To(HaveLen(groups))
		g.Expect(d.Accounts).To(HaveLen(accounts))
		used := map[ident.DataCentre]bool{}
		for _, group := range d.Groups {
			g.Expect(group.Endpoints).To(HaveLen(endpoints))
			for _, e := range group.Endpoints {
				g.Expect(e.Slots).To(Equal(s.slots))
				g.Expect(e.Connections).To(Equal(s.connections))
				used[e.DataCentre] = true
			}
		}
		g.Expect(used).To(HaveLen(len(s.dataCentres)))
		for _, dc := range s.dataCentres {
			g.Expect(used).To(HaveKey(dc))
		}
		for _, a := range d.Accounts {
			g.Expect(a.Keys).To(ConsistOf(envdoc.HashKey("mk_example_" + string(a.Name))))
		}
	}
}

func TestSettingsLoad(t *testing.T) {
	for _, s := range sizes {
		g := NewWithT(t)
		settings, err := conf.Load(filepath.Join(s.directory, "proxy.toml"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.dataCentres).To(ContainElement(settings.DataCentre))
	}
}

// TestEveryFieldIsDocumented checks that docs/SETTINGS.md mentions each field
// of the settings and of the document.
func TestEveryFieldIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "SETTINGS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	fields := slices.Concat(fieldPaths(reflect.TypeFor[conf.Settings](), ""), fieldPaths(reflect.TypeFor[envdoc.Document](), ""))
	g.Expect(len(fields)).To(BeNumerically(">", groups*accounts))
	for _, f := range fields {
		g.Expect(string(page)).To(ContainSubstring("`"+f+"`"), f)
	}
}

// fieldPaths returns the paths of all leaf fields of a type.
func fieldPaths(t reflect.Type, path string) []string {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return []string{path}
	}
	var paths []string
	for _, f := range reflect.VisibleFields(t) {
		name := f.Name
		if path != "" {
			name = path + "." + name
		}
		paths = append(paths, fieldPaths(f.Type, name)...)
	}
	return paths
}
