package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

const beforeRename = `package lagoon

// Node is one node.
type Node struct {
	name    string // the node's name
	start   uint64 // the node's start ID
	minLoad int    // the smallest load
}
`

// generate runs the generator on one source file and returns the accessors and
// the wire forms.
func generate(t *testing.T, src string) (accessors, forms string) {
	t.Helper()
	dir, wire := t.TempDir(), t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "values.go"), []byte(src), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := run(dir, wire, false); err != nil {
		t.Fatal(err)
	}
	return readFile(t, filepath.Join(dir, "accessors_gen.go")), readFile(t, filepath.Join(wire, "forms_gen.go"))
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// tags returns the struct tags of the wire forms, by field name.
func tags(t *testing.T, forms string) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "forms_gen.go", forms, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		if field, ok := n.(*ast.Field); ok && field.Tag != nil {
			out[field.Names[0].Name] = strings.Trim(field.Tag.Value, "`")
		}
		return true
	})
	return out
}

// Nodes of two releases exchange messages and read the same stored objects, so
// a field that is renamed in between must keep its JSON key and CBOR number.
func TestRenamedFieldKeepsItsKeys(t *testing.T) {
	src := strings.NewReplacer(
		"start   uint64 // the node's start ID", `startID uint64 // the node's start ID; json:"start"`,
		"minLoad int    // the smallest load", `lowestLoad int // the smallest load; json:"min_load"`,
	).Replace(beforeRename)
	_, oldForms := generate(t, beforeRename)
	newAccessors, newForms := generate(t, src)
	oldTags, newTags := tags(t, oldForms), tags(t, newForms)
	if got, want := oldTags["Start"], `cbor:"2,keyasint,omitempty" json:"start,omitempty"`; got != want {
		t.Fatalf("tag before the rename: got %s, want %s", got, want)
	}
	want := map[string]string{"Name": oldTags["Name"], "StartID": oldTags["Start"], "LowestLoad": oldTags["MinLoad"]}
	if !reflect.DeepEqual(newTags, want) {
		t.Errorf("tags after the rename: got %v, want %v", newTags, want)
	}
	for _, line := range []string{"// StartID returns the node's start ID.", "// SetLowestLoad sets the smallest load."} {
		if !strings.Contains(newAccessors, line+"\n") {
			t.Errorf("accessors lack %q:\n%s", line, newAccessors)
		}
	}
}

// An attribute with the key that the field has anyway changes no output, so it
// can be added before the rename.
func TestKeyAttributeWithoutRename(t *testing.T) {
	src := regexp.MustCompile(`(the smallest load|the node's start id)`).ReplaceAllStringFunc(beforeRename, func(doc string) string {
		return doc + map[string]string{"the smallest load": `; json:"min_load"`, "the node's start id": `; json:"start"`}[doc]
	})
	wantAccessors, wantForms := generate(t, beforeRename)
	gotAccessors, gotForms := generate(t, src)
	if gotAccessors != wantAccessors {
		t.Errorf("accessors: got\n%s\nwant\n%s", gotAccessors, wantAccessors)
	}
	if gotForms != wantForms {
		t.Errorf("forms: got\n%s\nwant\n%s", gotForms, wantForms)
	}
}

func TestDuplicateKeyFails(t *testing.T) {
	src := strings.Replace(beforeRename, "the smallest load", `the smallest load; json:"start"`, 1)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "values.go"), []byte(src), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := run(dir, "", false); err == nil || !strings.Contains(err.Error(), `same JSON key "start"`) {
		t.Errorf("got error %v, want one about the JSON key", err)
	}
}
