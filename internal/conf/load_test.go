package conf_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
)

// TestLoadScripts runs the scripts of testdata. The directives "proxy" and
// "operator" load the input as a file and print the settings or every problem.
func TestLoadScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Chdir(t.TempDir())
			if err := os.WriteFile("proxy.toml", []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			load := conf.Load
			if d.Cmd == "operator" {
				load = conf.LoadOperator
			}
			s, err := load("proxy.toml")
			if err != nil {
				return err.Error() + "\n"
			}
			return fmt.Sprintf("%+v\n", *s)
		})
	})
}

func TestMissingFileIsReported(t *testing.T) {
	g := NewWithT(t)
	_, err := conf.Load(filepath.Join(t.TempDir(), "none.toml"))
	g.Expect(err).To(MatchError(os.ErrNotExist))
}
