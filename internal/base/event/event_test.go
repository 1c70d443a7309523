package event

import (
	"os"
	"regexp"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

func TestCatalogueIsCurrent(t *testing.T) {
	got, err := os.ReadFile("../../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	if want := Markdown(); string(got) != want {
		t.Error("docs/events.md is stale: run go run ./internal/cmd/gendocs")
	}
}

func TestEventsHaveValidNameAndDoc(t *testing.T) {
	name := regexp.MustCompile(`^[a-z][A-Za-z0-9]*$`)
	for _, e := range Catalogue() {
		if !name.MatchString(e.Name) {
			t.Errorf("event %d: name %q is not in camelCase", e.Number, e.Name)
		}
		if len(e.Doc) < 20 || e.Doc[len(e.Doc)-1] != '.' {
			t.Errorf("event %d %s: doc %q is not a whole sentence", e.Number, e.Name, e.Doc)
		}
	}
}

func TestLog(t *testing.T) {
	h := memory.New()
	Log(&log.Logger{Handler: h, Level: log.DebugLevel}, BugFound, Fields{"place": "x.go:1"})
	if got, want := len(h.Entries), 1; got != want {
		t.Fatalf("lines: got %d, want %d", got, want)
	}
	e := h.Entries[0]
	if got, want := e.Message, "bugFound"; got != want {
		t.Errorf("message: got %q, want %q", got, want)
	}
	if got, want := e.Fields["event"], BugFound.Number; got != want {
		t.Errorf("field event: got %v, want %v", got, want)
	}
	if got, want := e.Level, log.ErrorLevel; got != want {
		t.Errorf("level: got %v, want %v", got, want)
	}
}
