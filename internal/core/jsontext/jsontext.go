// Package jsontext decodes JSON with comments into structs and reports every problem with its field and line.
//
// Decode fails on fields that are unknown, duplicate, null or of the wrong type. The caller checks the values
// themselves, and adds lines to the problems it finds with Locate.
package jsontext

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDocumentBytes bounds a document before it is parsed.
const MaxDocumentBytes = 8 << 20

// maxDepth bounds the nesting of a document.
const maxDepth = 32

// ErrInvalid is the error that every Problems wraps.
var ErrInvalid = errors.New("document is not valid")

// Problem is one error in a document.
type Problem struct {
	Field   string `json:"field"`          // such as "servers[3].region"; empty for the document as a whole
	Line    int    `json:"line,omitempty"` // from 1; zero when the document was not read from text
	Message string `json:"message"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	switch {
	case p.Line > 0 && p.Field != "":
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Message)
	case p.Field != "":
		return fmt.Sprintf("%s: %s", p.Field, p.Message)
	}
	return p.Message
}

// Problems is the error for an invalid document.
type Problems []Problem

// Error formats each problem on a separate line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (ps Problems) Unwrap() error { return ErrInvalid }

// Document holds the positions of the fields of a decoded text.
type Document struct {
	newlines []int          // offsets of line ends, ascending
	offsets  map[string]int // offset of each field by path
	problems Problems
}

// Decode decodes data into target, a pointer to a struct. The error is a Problems with every structural problem found.
func Decode(data []byte, target any) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{{Message: fmt.Sprintf("document has %d bytes, the limit is %d", len(data), MaxDocumentBytes)}}
	}
	if depthExceeds(data, maxDepth) {
		return nil, Problems{{Message: fmt.Sprintf("document is nested deeper than %d levels", maxDepth)}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, Problems{{Message: strings.TrimPrefix(err.Error(), "hujson: ")}}
	}
	doc := &Document{offsets: make(map[string]int)}
	for i, c := range data {
		if c == '\n' {
			doc.newlines = append(doc.newlines, i)
		}
	}
	doc.decodeValue(root, reflect.ValueOf(target).Elem(), "")
	if len(doc.problems) > 0 {
		return nil, doc.problems
	}
	return doc, nil
}

// Locate fills in the lines of ps, sorts it by line and returns it as an error, or nil when it is empty.
func (d *Document) Locate(ps Problems) error {
	if len(ps) == 0 {
		return nil
	}
	for i := range ps {
		ps[i].Line = d.line(ps[i].Field)
	}
	slices.SortStableFunc(ps, func(a, b Problem) int { return a.Line - b.Line })
	return ps
}

// line returns the line of a field, or of the closest enclosing one that the text contains.
func (d *Document) line(field string) int {
	for {
		if off, ok := d.offsets[field]; ok {
			return 1 + sort.SearchInts(d.newlines, off)
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1 + sort.SearchInts(d.newlines, d.offsets[""])
		}
		field = field[:cut]
	}
}

func (d *Document) addProblem(field, format string, args ...any) {
	d.problems = append(d.problems, Problem{Field: field, Line: d.line(field), Message: fmt.Sprintf(format, args...)})
}

// decodeValue decodes v into dst and records the offset of every field.
func (d *Document) decodeValue(v hujson.Value, dst reflect.Value, path string) {
	d.offsets[path] = v.StartOffset
	switch {
	case isEncodedAsString(dst.Type()):
		d.decodeLeaf(v, dst, path)
	case dst.Kind() == reflect.Struct:
		d.decodeObject(v, dst, path)
	case dst.Kind() == reflect.Slice:
		d.decodeArray(v, dst, path)
	default:
		d.decodeLeaf(v, dst, path)
	}
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// isEncodedAsString reports whether t is written as a JSON string although its kind may be a struct or a slice.
func isEncodedAsString(t reflect.Type) bool {
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		return true
	}
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8
}

func (d *Document) decodeLeaf(v hujson.Value, dst reflect.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.addProblem(path, "must be a %s", typeName(dst.Type()))
		return
	}
	if lit.Kind() == 'n' {
		d.addProblem(path, "must not be null")
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		var typ *json.UnmarshalTypeError
		if errors.As(err, &typ) {
			d.addProblem(path, "must be a %s", typeName(dst.Type()))
			return
		}
		d.addProblem(path, "%v", err)
	}
}

// typeName returns the name of a leaf type for messages.
func typeName(t reflect.Type) string {
	switch {
	case isEncodedAsString(t), t.Kind() == reflect.String:
		return "string"
	case t.Kind() == reflect.Bool:
		return "true or false value"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return "whole number"
}

func (d *Document) decodeObject(v hujson.Value, dst reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "must be an object")
		return
	}
	fields := fieldsByName(dst.Type())
	seen := make(map[string]bool)
	for _, member := range obj.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at := name
		if path != "" {
			at = path + "." + name
		}
		d.offsets[at] = member.Name.StartOffset
		i, known := fields[name]
		switch {
		case !known:
			d.addProblem(at, "field is not known")
		case seen[name]:
			d.addProblem(at, "field is given twice")
		default:
			d.decodeValue(member.Value, dst.Field(i), at)
		}
		seen[name] = true
	}
}

// fieldsByName returns the indexes of a struct's fields by JSON name.
func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func (d *Document) decodeArray(v hujson.Value, dst reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, "must be a list")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i, elem := range arr.Elements {
		d.decodeValue(elem, dst.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// depthExceeds reports whether brackets outside strings and comments nest deeper than limit. Decode checks this before
// it parses, since the parser recurses.
func depthExceeds(data []byte, limit int) bool {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '[', '{':
			depth++
			if depth > limit {
				return true
			}
		case ']', '}':
			depth--
		}
	}
	return false
}

// skipString returns the offset of the quote that ends the string starting at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment starting at i, or i when none starts there.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	var end int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		end = bytes.Index(rest[2:], []byte("*/"))
		if end >= 0 {
			end += len("/*") + len("*/") - 1
		}
	default:
		return i
	}
	if end < 0 {
		return len(data)
	}
	return i + end
}
