// Package shape_test checks that the code follows the architecture rules in
// docs/DESIGN.md on imports, unexported fields and the platform's wire names, and that
// the pages in docs/operate list what the code defines.
package shape_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const module = "github.com/lagoontrail/lagoon"

// sourceFile is one parsed file that is not a test.
type sourceFile struct {
	path   string
	syntax *ast.File
}

// parseSources parses all Go files of the module but its tests.
func parseSources(t *testing.T) []sourceFile {
	t.Helper()
	var out []sourceFile
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		out = append(out, sourceFile{filepath.ToSlash(strings.TrimPrefix(path, "../../")), f})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func importPaths(s sourceFile) []string {
	var out []string
	for _, im := range s.syntax.Imports {
		out = append(out, strings.Trim(im.Path.Value, `"`))
	}
	return out
}

// isDecisionCode reports whether a file makes decisions. Such code must not depend on
// the encoding or transport of messages, so that another front end can use it.
func isDecisionCode(path string) bool {
	for _, p := range []string{"internal/trfc/", "internal/ctrl/", "internal/lane/", "internal/world/", "internal/view/", "internal/rows/", "internal/direct/"} {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return strings.HasPrefix(path, "pkg/") && !strings.HasPrefix(path, "pkg/caller/")
}

func TestDecisionsImportNoEncodingOrTransport(t *testing.T) {
	forbidden := []string{"encoding/", "net", "github.com/fxamacker/cbor", "github.com/coder/websocket", module + "/internal/wire", module + "/internal/plink", module + "/internal/htapi", module + "/internal/htup", module + "/internal/htplat", module + "/platform"}
	for _, s := range parseSources(t) {
		if !isDecisionCode(s.path) {
			continue
		}
		for _, im := range importPaths(s) {
			for _, f := range forbidden {
				if im == f || strings.HasPrefix(im, f+"/") || (strings.HasSuffix(f, "/") && strings.HasPrefix(im, f)) || (strings.HasPrefix(f, "github.com") && strings.HasPrefix(im, f)) {
					t.Errorf("%s: got an import of %s, want none in decisions", s.path, im)
				}
			}
		}
	}
}

func TestRootImportsNoImplementation(t *testing.T) {
	for _, s := range parseSources(t) {
		if strings.Contains(s.path, "/") {
			continue
		}
		for _, im := range importPaths(s) {
			if strings.HasPrefix(im, module) {
				t.Errorf("%s: got an import of %s, want none in the root package", s.path, im)
			}
		}
	}
}

// Only the control systems and the loop that runs them may use the control tables
// directly. Other packages that import internal/world must go through World.Do, which
// runs a function on the control goroutine.
func TestControlTablesAreUsedByControlOnly(t *testing.T) {
	allowed := []string{"internal/ctrl/", "internal/world/", "internal/node/", "internal/htapi/", "internal/clustr/", "internal/bench/", "internal/slope/"}
	for _, s := range parseSources(t) {
		for _, im := range importPaths(s) {
			if im != module+"/internal/world" {
				continue
			}
			ok := false
			for _, a := range allowed {
				ok = ok || strings.HasPrefix(s.path, a)
			}
			if !ok {
				t.Errorf("%s: got an import of internal/world, want it only in %v", s.path, allowed)
			}
		}
	}
}

func TestFieldsAreUnexported(t *testing.T) {
	for _, s := range parseSources(t) {
		if strings.HasSuffix(s.path, "_gen.go") || strings.HasPrefix(s.path, "internal/accgen") {
			continue
		}
		ast.Inspect(s.syntax, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok || !spec.Name.IsExported() {
				return true
			}
			if st, ok := spec.Type.(*ast.StructType); ok {
				for _, f := range st.Fields.List {
					for _, name := range f.Names {
						if name.IsExported() {
							t.Errorf("%s: %s has the exported field %s, want accessors", s.path, spec.Name.Name, name.Name)
						}
					}
				}
			}
			return true
		})
	}
}

// Only the command line may import the platform adapter.
func TestOnlyCommandLineImportsAdapter(t *testing.T) {
	for _, s := range parseSources(t) {
		if strings.HasPrefix(s.path, "platform/") || strings.HasPrefix(s.path, "internal/cmds/") {
			continue
		}
		for _, im := range importPaths(s) {
			if im == module+"/platform" || strings.HasPrefix(im, module+"/platform/") {
				t.Errorf("%s: got an import of %s, want it only in the command line", s.path, im)
			}
		}
	}
}

// The platform's names on the wire may occur in the platform adapter only.
func TestPlatformNamesStayInAdapter(t *testing.T) {
	names := []string{"callSeq", "warmupLeftMs", "maxConcurrency", "Part-Stamps", "Missing-Parts", "Server-Stamp", "Expect-Instance", "storeRevision", "minCoverage", "pathPrefix", "Deadline-Ms", "Not-Run", "Server-Load", "hasMore", "waitMs", "evacuations"}
	for _, s := range parseSources(t) {
		if strings.HasPrefix(s.path, "platform/") {
			continue
		}
		text := readFile(t, s.path)
		for _, name := range names {
			if strings.Contains(text, `"`+name+`"`) {
				t.Errorf("%s: got the platform's wire name %s, want it only in platform/", s.path, name)
			}
		}
	}
}
