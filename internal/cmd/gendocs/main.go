// Command gendocs generates the reference pages of settings and events from their declarations in the source.
//
// Run it at the root of the repository after changing settings or events. Tests fail if a page is stale.
package main

import (
	"fmt"
	"os"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/run/settings"
)

const pageMode = 0o644

func main() {
	pages := map[string]string{
		"docs/settings.md": settings.Markdown(),
		"docs/events.md":   event.Markdown(),
	}
	for path, text := range pages {
		if err := os.WriteFile(path, []byte(text), pageMode); err != nil {
			fmt.Fprintln(os.Stderr, "gendocs:", err)
			os.Exit(1)
		}
	}
}
