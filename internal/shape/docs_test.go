package shape_test

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/lagoontrail/lagoon/internal/config"
)

var update = flag.Bool("update", false, "regenerate docs/operate/settings.md from the code")

// readFile returns the text of a file of the module.
func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile("../../" + path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestSettingsPageIsCurrent(t *testing.T) {
	want := "# Settings of a node\n\nOne JSON object, for `lagoontrail node --config FILE`; validate it with `lagoontrail check --config FILE`. Generated from the code by `go test ./internal/shape -update`.\n\n" + config.MarkdownTable()
	if *update {
		if err := os.WriteFile("../../docs/operate/settings.md", []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if got := readFile(t, "docs/operate/settings.md"); got != want {
		t.Error("docs/operate/settings.md: got an outdated page, want the one generated from the code; run go test ./internal/shape -update")
	}
}

// The pages must list every kind of action and every metric that the code records.
func TestPagesListActionsAndMetrics(t *testing.T) {
	pages := []struct {
		path, page string
		pattern    *regexp.Regexp
	}{
		{"internal/", "docs/operate/actions.md", regexp.MustCompile(`\b(?:RecordAction|Record)\("([a-z_]+[a-z])"`)},
		{"internal/", "docs/operate/metrics.md", regexp.MustCompile(`"(lagoontrail_[a-z_]+)"`)},
	}
	for _, p := range pages {
		text := readFile(t, p.page)
		for _, s := range parseSources(t) {
			if !strings.HasPrefix(s.path, p.path) {
				continue
			}
			for _, m := range p.pattern.FindAllStringSubmatch(readFile(t, s.path), -1) {
				if !strings.Contains(text, "`"+m[1]+"`") {
					t.Errorf("%s: got %s, which %s does not list; want every name listed", s.path, m[1], p.page)
				}
			}
		}
	}
}
