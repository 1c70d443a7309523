// Package logging creates the logger of a program from its settings, and writes log lines without blocking the program.
package logging

import (
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// New returns a logger that writes lines of at least the given level in the given format, "json" or "text".
func New(w io.Writer, level, format string) (*log.Logger, error) {
	lvl, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	switch format {
	case "json":
		return &log.Logger{Handler: json.New(w), Level: lvl}, nil
	case "text":
		return &log.Logger{Handler: text.New(w), Level: lvl}, nil
	}
	return nil, fmt.Errorf("log format %q is neither json nor text", format)
}
