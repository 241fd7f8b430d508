package shape_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

var (
	groupRow    = regexp.MustCompile(`(?m)^\| ([a-z' ]+) \| (.*) \| (shared|all) \|$`)
	packageName = regexp.MustCompile("`([a-z]+)`")
)

// groupsOf reads the groups of packages from internal/README.md.
func groupsOf(t *testing.T) map[string]string {
	t.Helper()
	groups := map[string]string{}
	for _, row := range groupRow.FindAllStringSubmatch(readFile(t, "internal/README.md"), -1) {
		names, _, _ := strings.Cut(row[2], " with ")
		for _, name := range packageName.FindAllStringSubmatch(names, -1) {
			groups[name[1]] = row[1]
		}
	}
	return groups
}

// TestGroupsListEachPackage guards against a page that misses a package or names one that is gone.
func TestGroupsListEachPackage(t *testing.T) {
	groups := groupsOf(t)
	entries, err := os.ReadDir("../../internal")
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, e := range entries {
		if e.IsDir() {
			found[e.Name()] = true
		}
	}
	for name := range found {
		if groups[name] == "" {
			t.Errorf("internal/README.md: got no group for %s, want one", name)
		}
	}
	for name := range groups {
		if !found[name] {
			t.Errorf("internal/README.md: got the package %s, want only those that exist", name)
		}
	}
}

// TestGroupsImportSharedPackagesOnly guards against decisions of one design that depend on the
// tables of the other, which run on other goroutines.
func TestGroupsImportSharedPackagesOnly(t *testing.T) {
	groups := groupsOf(t)
	for _, s := range parseSources(t) {
		own, ok := strings.CutPrefix(s.path, "internal/")
		if !ok || strings.HasSuffix(s.path, "_test.go") {
			continue
		}
		own, _, _ = strings.Cut(own, "/")
		if groups[own] == "tools" {
			continue
		}
		for _, im := range importPaths(s) {
			other, ok := strings.CutPrefix(im, module+"/internal/")
			if !ok {
				continue
			}
			other, _, _ = strings.Cut(other, "/")
			if groups[other] != "shared" && groups[other] != groups[own] {
				t.Errorf("%s (%s): got an import of internal/%s (%s), want shared packages or its own group", s.path, groups[own], other, groups[other])
			}
		}
	}
}
