// Package shape_test checks that the code keeps the shape that docs/DESIGN.md
// sets down.
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

// source is one parsed file that is not a test.
type source struct {
	path string
	file *ast.File
}

func sources(t *testing.T) []source {
	t.Helper()
	var out []source
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		out = append(out, source{filepath.ToSlash(strings.TrimPrefix(path, "../../")), f})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func imports(s source) []string {
	var out []string
	for _, im := range s.file.Imports {
		out = append(out, strings.Trim(im.Path.Value, `"`))
	}
	return out
}

// decides reports whether a file holds decisions, which must not know how
// messages are encoded or carried.
func decides(path string) bool {
	for _, p := range []string{"internal/trfc/", "internal/ctrl/", "internal/lane/", "internal/world/", "internal/view/", "internal/rows/", "internal/direct/"} {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return strings.HasPrefix(path, "pkg/") && !strings.HasPrefix(path, "pkg/caller/")
}

func TestDecisionsKnowNoEncoding(t *testing.T) {
	forbidden := []string{"encoding/", "net", "github.com/fxamacker/cbor", "github.com/coder/websocket", module + "/internal/wire", module + "/internal/plink", module + "/internal/htapi", module + "/internal/htup", module + "/internal/htplat", module + "/platform"}
	for _, s := range sources(t) {
		if !decides(s.path) {
			continue
		}
		for _, im := range imports(s) {
			for _, f := range forbidden {
				if im == f || strings.HasPrefix(im, f+"/") || (strings.HasSuffix(f, "/") && strings.HasPrefix(im, f)) || (strings.HasPrefix(f, "github.com") && strings.HasPrefix(im, f)) {
					t.Errorf("%s: got an import of %s, want none in decisions", s.path, im)
				}
			}
		}
	}
}

func TestRootImportsNoImplementation(t *testing.T) {
	for _, s := range sources(t) {
		if strings.Contains(s.path, "/") {
			continue
		}
		for _, im := range imports(s) {
			if strings.HasPrefix(im, module) {
				t.Errorf("%s: got an import of %s, want none in the root package", s.path, im)
			}
		}
	}
}

// Only the control systems and the loop that runs them may name the control
// tables; the front end and the node reach them by Do alone.
func TestControlTablesHaveOneWriter(t *testing.T) {
	allowed := []string{"internal/ctrl/", "internal/world/", "internal/node/", "internal/htapi/", "internal/rig/", "internal/bench/", "internal/slope/"}
	for _, s := range sources(t) {
		for _, im := range imports(s) {
			if im != module+"/internal/world" {
				continue
			}
			ok := false
			for _, a := range allowed {
				ok = ok || strings.HasPrefix(s.path, a)
			}
			if !ok {
				t.Errorf("%s: got an import of the control world, want it only in %v", s.path, allowed)
			}
		}
	}
}

func TestFieldsAreUnexported(t *testing.T) {
	for _, s := range sources(t) {
		if strings.HasSuffix(s.path, "_gen.go") || strings.HasPrefix(s.path, "internal/accgen") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
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

// Only the command line knows the adapter; the adapter knows the product.
func TestAdapterIsOneFolder(t *testing.T) {
	for _, s := range sources(t) {
		if strings.HasPrefix(s.path, "platform/") || strings.HasPrefix(s.path, "internal/cmds/") {
			continue
		}
		for _, im := range imports(s) {
			if im == module+"/platform" || strings.HasPrefix(im, module+"/platform/") {
				t.Errorf("%s: got an import of %s, want it only in the command line", s.path, im)
			}
		}
	}
}

// The platform's names on the wire are decoded in the adapter alone.
func TestPlatformNamesStayInAdapter(t *testing.T) {
	names := []string{"callSeq", "warmupLeftMs", "maxConcurrency", "Part-Stamps", "Missing-Parts", "Server-Stamp", "Expect-Instance", "storeRevision", "minCoverage", "pathPrefix", "Deadline-Ms", "Not-Run", "Server-Load", "hasMore", "waitMs", "evacuations"}
	for _, s := range sources(t) {
		if strings.HasPrefix(s.path, "platform/") {
			continue
		}
		text := page(t, s.path)
		for _, name := range names {
			if strings.Contains(text, `"`+name+`"`) {
				t.Errorf("%s: got the platform's name %s, want it only in platform/", s.path, name)
			}
		}
	}
}
