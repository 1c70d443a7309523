package bug_test

import (
	"strings"
	"testing"

	"ebonyferry/internal/base/bug"
)

func TestReportf(t *testing.T) {
	var got bug.Report
	bug.Handle(func(rep bug.Report) { got = rep })
	defer bug.Handle(nil)

	before := bug.Count()
	bug.Reportf("slice %d is negative", 3)

	if want := "slice 3 is negative"; got.Message != want {
		t.Errorf("message: got %q, want %q", got.Message, want)
	}
	if !strings.HasPrefix(got.Place, "bug_test.go:") {
		t.Errorf("place: got %q, want a line of bug_test.go", got.Place)
	}
	if got, want := bug.Count(), before+1; got != want {
		t.Errorf("count: got %d, want %d", got, want)
	}
}
