package shape_test

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/lagoontrail/lagoon/internal/sets"
)

var update = flag.Bool("update", false, "write docs/operate/settings.md from the code")

func page(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile("../../" + path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestSettingsPageIsCurrent(t *testing.T) {
	want := "# Settings of a node\n\nOne JSON object, for `lagoontrail node --config FILE`; check it with `lagoontrail check --config FILE`. Made from the code by `go test ./internal/shape -update`.\n\n" + sets.Describe()
	if *update {
		if err := os.WriteFile("../../docs/operate/settings.md", []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if got := page(t, "docs/operate/settings.md"); got != want {
		t.Error("docs/operate/settings.md: got an old page, want the code's; run go test ./internal/shape -update")
	}
}

// Every kind of action and every metric in the code stands on its page.
func TestPagesNameWhatTheCodeSays(t *testing.T) {
	pages := []struct {
		path, page string
		form       *regexp.Regexp
	}{
		{"internal/", "docs/operate/actions.md", regexp.MustCompile(`\b(?:RecordAction|Record)\("([a-z_]+[a-z])"`)},
		{"internal/", "docs/operate/metrics.md", regexp.MustCompile(`"(lagoontrail_[a-z_]+)"`)},
	}
	for _, p := range pages {
		text := page(t, p.page)
		for _, s := range sources(t) {
			if !strings.HasPrefix(s.path, p.path) {
				continue
			}
			for _, m := range p.form.FindAllStringSubmatch(page(t, s.path), -1) {
				if !strings.Contains(text, "`"+m[1]+"`") {
					t.Errorf("%s: got %s, which %s does not name; want each named", s.path, m[1], p.page)
				}
			}
		}
	}
}
