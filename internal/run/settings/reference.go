// This file generates the reference of settings, docs/settings.md.

package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Row documents one setting.
type Row struct {
	Name     string // path, such as "timing.bodyTimeout"
	Default  string // in JSON, empty if there is none
	Required bool
	Doc      string
}

// Reference returns a row for each setting, in the order of declaration.
func Reference() []Row {
	return rowsOf(reflect.ValueOf(Default()), "")
}

func rowsOf(v reflect.Value, path string) []Row {
	var rows []Row
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := field.Tag.Get("json")
		if path != "" {
			name = path + "." + name
		}
		if isGroup(field.Type) {
			rows = append(rows, rowsOf(v.Field(i), name)...)
			continue
		}
		rows = append(rows, Row{
			Name:     name,
			Default:  defaultText(v.Field(i)),
			Required: field.Tag.Get("required") == "true",
			Doc:      field.Tag.Get("doc"),
		})
	}
	return rows
}

func defaultText(val reflect.Value) string {
	if val.IsZero() {
		return ""
	}
	data, err := json.Marshal(val.Interface())
	if err != nil {
		return fmt.Sprint(val.Interface())
	}
	return string(data)
}

// Markdown returns the whole reference page.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings of a node\n\nGenerated from internal/run/settings by `go run ./internal/cmd/gendocs`.\n\n")
	b.WriteString("A settings file is JSON with comments. `ebonyferry check --settings FILE` checks one without starting a node.\n\n")
	b.WriteString("| setting | default | meaning |\n| --- | --- | --- |\n")
	for _, row := range Reference() {
		defaultCell := "`" + row.Default + "`"
		if row.Default == "" {
			defaultCell = ""
		}
		if row.Required {
			defaultCell = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", row.Name, defaultCell, row.Doc)
	}
	return b.String()
}
