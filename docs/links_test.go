// Package docs holds no code; its test checks the pages' links.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// link matches the target of a Markdown link, without its fragment.
var link = regexp.MustCompile(`\]\(([^)#\s]+)`)

func TestRelativeLinksLeadToFiles(t *testing.T) {
	pages := []string{"../README.md"}
	err := filepath.WalkDir(".", func(file string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(file, ".md") {
			pages = append(pages, file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s: link to %s leads nowhere", page, match[1])
			}
		}
	}
}
