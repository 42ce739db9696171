// Package docs_test checks the pages.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// TestLinksResolve checks that every link between pages names a file.
func TestLinksResolve(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "journal" || d.Name() == "target") {
			return filepath.SkipDir
		}
		if filepath.Ext(path) == ".md" {
			checkPage(t, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkPage(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range link.FindAllStringSubmatch(string(text), -1) {
		if strings.Contains(m[1], "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
			t.Errorf("%s links to %s, which does not exist", path, m[1])
		}
	}
}
