// Command accgen writes the accessors of structs with unexported fields, and
// the wire forms of the root package's structs.
//
// # Usage
//
//	go run ./internal/accgen -dir . -wire internal/wire
//	go run ./internal/accgen -dir internal/zones -rows
//
// With -rows the accessors have pointer receivers, as table rows are never
// copied. Each field needs a comment, which becomes the accessor's.
//
// The JSON key of a field is its name in snake case, and its CBOR key is its
// position in the struct. A comment that ends in json:"key" sets the JSON key,
// so that the field can be renamed while stored and sent data stay readable:
//
//	startID uint64 // the node's start id; json:"start"
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

// field is one unexported struct field.
type field struct {
	name, typ, doc string
	jsonKey        string
}

// record is one exported struct.
type record struct {
	name   string
	fields []field
}

func main() {
	dir := flag.String("dir", ".", "the package's folder")
	wire := flag.String("wire", "", "the folder of the wire forms; empty writes none")
	rows := flag.Bool("rows", false, "use pointer receivers throughout")
	flag.Parse()
	if err := run(*dir, *wire, *rows); err != nil {
		log.Fatal(err)
	}
}

func run(dir, wire string, rows bool) error {
	pkg, imports, records, err := load(dir)
	if err != nil {
		return err
	}
	if err := writeGo(filepath.Join(dir, "accessors_gen.go"), accessors(pkg, imports, records, rows)); err != nil {
		return err
	}
	if wire == "" {
		return nil
	}
	return writeGo(filepath.Join(wire, "forms_gen.go"), forms(records))
}

func writeGo(path string, src []byte) error {
	out, err := format.Source(src)
	if err != nil {
		return fmt.Errorf("format %s: %w\n%s", path, err, src)
	}
	return os.WriteFile(path, out, 0o644)
}

// load reads the structs of a package, in the order of file and position.
func load(dir string) (string, map[string]string, []record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return "", nil, nil, err
	}
	sort.Strings(paths)
	var pkg string
	var records []record
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
		records = append(records, structs(f)...)
	}
	for _, r := range records {
		if err := checkKeys(r); err != nil {
			return "", nil, nil, err
		}
	}
	return pkg, imports, records, nil
}

func structs(f *ast.File) []record {
	var out []record
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
			out = append(out, record{name: t.Name.Name, fields: fieldsOf(st)})
		}
	}
	return out
}

func fieldsOf(st *ast.StructType) []field {
	var out []field
	for _, f := range st.Fields.List {
		for _, n := range f.Names {
			if f.Comment == nil {
				continue
			}
			doc, jsonKey := splitKey(strings.TrimSpace(f.Comment.Text()))
			if jsonKey == "" {
				jsonKey = snake(n.Name)
			}
			out = append(out, field{n.Name, types.ExprString(f.Type), doc, jsonKey})
		}
	}
	return out
}

// keyAttribute matches the JSON key at the end of a field's comment.
var keyAttribute = regexp.MustCompile(`^(.*?);? *json:"([a-z0-9_]+)"$`)

// splitKey separates a field's comment from its JSON key attribute. The key is
// empty when the comment has no attribute.
func splitKey(comment string) (doc, jsonKey string) {
	if m := keyAttribute.FindStringSubmatch(comment); m != nil {
		return m[1], m[2]
	}
	return comment, ""
}

// checkKeys returns an error when two fields of a struct have the same JSON
// key: encoding/json would silently skip both.
func checkKeys(r record) error {
	seen := map[string]string{}
	for _, f := range r.fields {
		if other, ok := seen[f.jsonKey]; ok {
			return fmt.Errorf("struct %s: fields %s and %s have the same JSON key %q", r.name, other, f.name, f.jsonKey)
		}
		seen[f.jsonKey] = f.name
	}
	return nil
}

// public returns a field's exported name.
func public(name string) string {
	if name == "id" || name == "ids" {
		return "ID" + name[2:]
	}
	if rest, ok := strings.CutPrefix(name, "ttl"); ok {
		return "TTL" + rest
	}
	return strings.ToUpper(name[:1]) + name[1:]
}

// snake returns a field's name in own formats.
func snake(name string) string {
	var b strings.Builder
	for _, r := range name {
		if unicode.IsUpper(r) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

func accessors(pkg string, imports map[string]string, records []record, rows bool) []byte {
	var b bytes.Buffer
	for _, r := range records {
		star := ""
		if rows {
			star = "*"
		}
		for _, f := range r.fields {
			name := public(f.name)
			fmt.Fprintf(&b, "// %s returns %s.\nfunc (v %s%s) %s() %s { return v.%s }\n\n", name, f.doc, star, r.name, name, f.typ, f.name)
			fmt.Fprintf(&b, "// Set%s sets %s.\nfunc (v *%s) Set%s(x %s) { v.%s = x }\n\n", name, f.doc, r.name, name, f.typ, f.name)
		}
	}
	return append(header(pkg, imports, b.String()), b.Bytes()...)
}

func header(pkg string, imports map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "// Code generated by accgen. DO NOT EDIT.\n\npackage %s\n\n", pkg)
	var used []string
	for base, path := range imports {
		if regexp.MustCompile(`[ \[\]*(]` + base + `\.[A-Z]`).MatchString(body) {
			used = append(used, importLine(base, path))
		}
	}
	sort.Slice(used, func(i, j int) bool { return rank(used[i])+used[i] < rank(used[j])+used[j] })
	for _, line := range used {
		b.WriteString("import " + line + "\n")
	}
	b.WriteString("\n")
	return b.Bytes()
}

// importLine returns one import with its alias where it differs from the path.
func importLine(base, path string) string {
	if base == filepath.Base(path) {
		return fmt.Sprintf("%q", path)
	}
	return fmt.Sprintf("%s %q", base, path)
}

// rank orders the standard library first.
func rank(line string) string {
	if strings.Contains(line, ".") {
		return "1"
	}
	return "0"
}

// forms writes, for each record, a struct with exported fields that codecs can
// read, and the two conversions.
func forms(records []record) []byte {
	known := map[string]bool{}
	for _, r := range records {
		known[r.name] = true
	}
	var b bytes.Buffer
	for _, r := range records {
		if travels(r) {
			writeForm(&b, r, known)
		}
	}
	imports := map[string]string{"time": "time", "lagoon": "github.com/lagoontrail/lagoon"}
	return append(header("wire", imports, b.String()), b.Bytes()...)
}

// travels reports whether a record is sent between nodes. One with a field of
// any type is passed within a process only.
func travels(r record) bool {
	return !slices.ContainsFunc(r.fields, func(f field) bool { return f.typ == "any" || f.typ == "[]any" })
}

func writeForm(b *bytes.Buffer, r record, known map[string]bool) {
	low := strings.ToLower(r.name[:1]) + r.name[1:]
	fmt.Fprintf(b, "// %sForm is the wire form of lagoon.%s.\ntype %sForm struct {\n", low, r.name, low)
	for i, f := range r.fields {
		fmt.Fprintf(b, "\t%s %s `cbor:\"%d,keyasint,omitempty\" json:\"%s,omitempty\"`\n", public(f.name), formType(f.typ, known), i+1, f.jsonKey)
	}
	fmt.Fprintf(b, "}\n\nfunc to%s(v lagoon.%s) %sForm {\n\treturn %sForm{\n", r.name, r.name, low, low)
	for _, f := range r.fields {
		fmt.Fprintf(b, "\t\t%s: %s,\n", public(f.name), convert("to", "v."+public(f.name)+"()", f.typ, known))
	}
	fmt.Fprintf(b, "\t}\n}\n\nfunc from%s(m %sForm) lagoon.%s {\n\tvar v lagoon.%s\n", r.name, low, r.name, r.name)
	for _, f := range r.fields {
		fmt.Fprintf(b, "\tv.Set%s(%s)\n", public(f.name), convert("from", "m."+public(f.name), f.typ, known))
	}
	b.WriteString("\treturn v\n}\n\n")
}

func convert(dir, expr, typ string, known map[string]bool) string {
	elem := strings.TrimPrefix(typ, "[]")
	if !known[elem] {
		return expr
	}
	if elem == typ {
		return dir + typ + "(" + expr + ")"
	}
	return "each(" + expr + ", " + dir + elem + ")"
}

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
