// Command accgen generates accessors for structs with unexported fields, and
// the wire forms of the structs in the root package.
//
// # Usage
//
//	go run ./internal/accgen -dir . -wire internal/wire
//	go run ./internal/accgen -dir internal/zones -rows
//
// With -rows the accessors have pointer receivers, because table rows are not
// copied. Fields without a line comment get no accessors; the comment is used in
// the doc comments of the accessors.
//
// The JSON key of a field is its name in snake case, and its CBOR key is its
// position in the struct. A comment that ends in json:"key" sets the JSON key,
// so that a renamed field is still read from stored objects and API bodies:
//
//	startID uint64 // the node's start ID; json:"start"
package main

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"go/types"
	"log"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strings"
	"unicode"
)

// field is one unexported struct field that has a line comment.
type field struct {
	name, typ, doc string
	jsonKey        string
}

// structType is one exported struct.
type structType struct {
	name   string
	fields []field
}

func main() {
	dir := flag.String("dir", ".", "directory of the package")
	wire := flag.String("wire", "", "output directory of the wire forms; none are generated if empty")
	rows := flag.Bool("rows", false, "generate pointer receivers for all accessors")
	flag.Parse()
	if err := run(*dir, *wire, *rows); err != nil {
		log.Fatal(err)
	}
}

func run(dir, wire string, rows bool) error {
	pkg, imports, structTypes, err := load(dir)
	if err != nil {
		return err
	}
	if err := writeGo(filepath.Join(dir, "accessors_gen.go"), accessors(pkg, imports, structTypes, rows)); err != nil {
		return err
	}
	if wire == "" {
		return nil
	}
	return writeGo(filepath.Join(wire, "forms_gen.go"), forms(structTypes))
}

// writeGo formats Go source and writes it to a file.
func writeGo(path string, src []byte) error {
	out, err := format.Source(src)
	if err != nil {
		return fmt.Errorf("format %s: %w\n%s", path, err, src)
	}
	return os.WriteFile(path, out, 0o644)
}

// load parses the structs of a package, ordered by file name and position.
func load(dir string) (string, map[string]string, []structType, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return "", nil, nil, err
	}
	sort.Strings(paths)
	var pkg string
	var structTypes []structType
	imports := map[string]string{}
	for _, p := range paths {
		if strings.HasSuffix(p, "_gen.go") || strings.HasSuffix(p, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), p, nil, parser.ParseComments)
		if err != nil {
			return "", nil, nil, err
		}
		pkg = f.Name.Name
		for _, im := range f.Imports {
			path := strings.Trim(im.Path.Value, `"`)
			base := filepath.Base(path)
			if im.Name != nil {
				base = im.Name.Name
			}
			imports[base] = path
		}
		structTypes = append(structTypes, exportedStructs(f)...)
	}
	for _, t := range structTypes {
		if err := checkKeys(t); err != nil {
			return "", nil, nil, err
		}
	}
	return pkg, imports, structTypes, nil
}

// exportedStructs returns the exported structs of a file.
func exportedStructs(f *ast.File) []structType {
	var out []structType
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, s := range g.Specs {
			t, ok := s.(*ast.TypeSpec)
			if !ok || !t.Name.IsExported() {
				continue
			}
			st, ok := t.Type.(*ast.StructType)
			if !ok {
				continue
			}
			out = append(out, structType{name: t.Name.Name, fields: fieldsOf(st)})
		}
	}
	return out
}

// fieldsOf returns the fields of a struct that have a line comment.
func fieldsOf(st *ast.StructType) []field {
	var out []field
	for _, f := range st.Fields.List {
		for _, n := range f.Names {
			if f.Comment == nil {
				continue
			}
			doc, jsonKey := splitKey(strings.TrimSpace(f.Comment.Text()))
			if jsonKey == "" {
				jsonKey = snakeCase(n.Name)
			}
			out = append(out, field{n.Name, types.ExprString(f.Type), doc, jsonKey})
		}
	}
	return out
}

// keyAttribute matches the JSON key at the end of a field's comment.
var keyAttribute = regexp.MustCompile(`^(.*?);? *json:"([a-z0-9_]+)"$`)

// splitKey splits a field comment into its text and its JSON key attribute. The
// key is empty if there is no attribute.
func splitKey(comment string) (doc, jsonKey string) {
	if m := keyAttribute.FindStringSubmatch(comment); m != nil {
		return m[1], m[2]
	}
	return comment, ""
}

// checkKeys returns an error if two fields of a struct have the same JSON key,
// because encoding/json silently ignores both.
func checkKeys(t structType) error {
	seen := map[string]string{}
	for _, f := range t.fields {
		if other, ok := seen[f.jsonKey]; ok {
			return fmt.Errorf("struct %s: fields %s and %s have the same JSON key %q", t.name, other, f.name, f.jsonKey)
		}
		seen[f.jsonKey] = f.name
	}
	return nil
}

// exportedName returns the exported form of a field name.
func exportedName(name string) string {
	if name == "id" || name == "ids" {
		return "ID" + name[2:]
	}
	if rest, ok := strings.CutPrefix(name, "ttl"); ok {
		return "TTL" + rest
	}
	return strings.ToUpper(name[:1]) + name[1:]
}

// snakeCase returns a field name in snake case, as used for JSON keys.
func snakeCase(name string) string {
	var b strings.Builder
	for _, r := range name {
		if unicode.IsUpper(r) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

func accessors(pkg string, imports map[string]string, structTypes []structType, rows bool) []byte {
	var b bytes.Buffer
	for _, t := range structTypes {
		getterStar := ""
		if rows {
			getterStar = "*"
		}
		for _, f := range t.fields {
			name := exportedName(f.name)
			fmt.Fprintf(&b, "// %s returns %s.\nfunc (v %s%s) %s() %s { return v.%s }\n\n", name, f.doc, getterStar, t.name, name, f.typ, f.name)
			fmt.Fprintf(&b, "// Set%s sets %s.\nfunc (v *%s) Set%s(x %s) { v.%s = x }\n\n", name, f.doc, t.name, name, f.typ, f.name)
		}
	}
	return append(header(pkg, imports, b.String()), b.Bytes()...)
}

// header returns the start of a generated file: the package clause and the imports
// that the body uses.
func header(pkg string, imports map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "// Code generated by accgen. DO NOT EDIT.\n\npackage %s\n\n", pkg)
	var used []string
	for base, path := range imports {
		if regexp.MustCompile(`[ \[\]*(]` + base + `\.[A-Z]`).MatchString(body) {
			used = append(used, importSpec(base, path))
		}
	}
	sort.Slice(used, func(i, j int) bool { return importGroup(used[i])+used[i] < importGroup(used[j])+used[j] })
	for _, line := range used {
		b.WriteString("import " + line + "\n")
	}
	b.WriteString("\n")
	return b.Bytes()
}

// importSpec returns an import spec, with the package name if it differs from the
// last element of the path.
func importSpec(base, path string) string {
	if base == filepath.Base(path) {
		return fmt.Sprintf("%q", path)
	}
	return fmt.Sprintf("%s %q", base, path)
}

// importGroup returns a sort prefix that puts the standard library first.
func importGroup(line string) string {
	if strings.Contains(line, ".") {
		return "1"
	}
	return "0"
}

// forms returns the source of the wire forms: for each struct, a struct with
// exported fields and tags for the codecs, and the conversions in both directions.
func forms(structTypes []structType) []byte {
	known := map[string]bool{}
	for _, t := range structTypes {
		known[t.name] = true
	}
	var b bytes.Buffer
	for _, t := range structTypes {
		if hasWireForm(t) {
			writeForm(&b, t, known)
		}
	}
	imports := map[string]string{"time": "time", "lagoon": "github.com/lagoontrail/lagoon"}
	return append(header("wire", imports, b.String()), b.Bytes()...)
}

// hasWireForm reports whether a struct can be encoded. Structs with fields of type
// any are only used within a process.
func hasWireForm(t structType) bool {
	return !slices.ContainsFunc(t.fields, func(f field) bool { return f.typ == "any" || f.typ == "[]any" })
}

func writeForm(b *bytes.Buffer, t structType, known map[string]bool) {
	formName := strings.ToLower(t.name[:1]) + t.name[1:]
	fmt.Fprintf(b, "// %sForm is the wire form of lagoon.%s.\ntype %sForm struct {\n", formName, t.name, formName)
	for i, f := range t.fields {
		fmt.Fprintf(b, "\t%s %s `cbor:\"%d,keyasint,omitempty\" json:\"%s,omitempty\"`\n", exportedName(f.name), formType(f.typ, known), i+1, f.jsonKey)
	}
	fmt.Fprintf(b, "}\n\nfunc to%s(v lagoon.%s) %sForm {\n\treturn %sForm{\n", t.name, t.name, formName, formName)
	for _, f := range t.fields {
		fmt.Fprintf(b, "\t\t%s: %s,\n", exportedName(f.name), convert("to", "v."+exportedName(f.name)+"()", f.typ, known))
	}
	fmt.Fprintf(b, "\t}\n}\n\nfunc from%s(m %sForm) lagoon.%s {\n\tvar v lagoon.%s\n", t.name, formName, t.name, t.name)
	for _, f := range t.fields {
		fmt.Fprintf(b, "\tv.Set%s(%s)\n", exportedName(f.name), convert("from", "m."+exportedName(f.name), f.typ, known))
	}
	b.WriteString("\treturn v\n}\n\n")
}

// convert returns the expression that converts expr, of type typ, to its wire form
// (prefix "to") or back ("from").
func convert(prefix, expr, typ string, known map[string]bool) string {
	elem := strings.TrimPrefix(typ, "[]")
	if !known[elem] {
		return expr
	}
	if elem == typ {
		return prefix + typ + "(" + expr + ")"
	}
	return "each(" + expr + ", " + prefix + elem + ")"
}

// formType returns the type of a field in the wire form.
func formType(typ string, known map[string]bool) string {
	elem := strings.TrimPrefix(typ, "[]")
	if known[elem] {
		return strings.TrimSuffix(typ, elem) + strings.ToLower(elem[:1]) + elem[1:] + "Form"
	}
	if ast.IsExported(elem) {
		return strings.TrimSuffix(typ, elem) + "lagoon." + elem
	}
	return typ
}
