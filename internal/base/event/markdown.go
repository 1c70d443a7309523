// This file generates the catalogue page docs/events.md.

package event

import (
	"fmt"
	"strings"
)

// Markdown returns the whole catalogue page.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Catalogue of log events\n\nGenerated from internal/base/event by `go run ./internal/cmd/gendocs`.\n\n")
	b.WriteString("Each log line carries the field `event` with the number below; the message is the name. Numbers are never reused.\n\n")
	b.WriteString("| event | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Doc)
	}
	return b.String()
}
