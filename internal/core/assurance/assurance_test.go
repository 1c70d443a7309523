package assurance

import (
	"testing"

	"ebonyferry/internal/core/route"
)

// All final statuses against all kinds of requests: no status may assure a caller that a request has not run which may not be repeated.
func TestMayForward(t *testing.T) {
	assuring := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 200; status <= 599; status++ {
		if got, want := Gives(status), assuring[status]; got != want {
			t.Errorf("status %d assures: got %v, want %v", status, got, want)
		}
		if got, want := Failed(status), status >= 500 || assuring[status]; got != want {
			t.Errorf("status %d is a failure: got %v, want %v", status, got, want)
		}
		for _, kind := range []route.Kind{route.Repeatable, route.NonRepeatable, route.Stream} {
			if got, want := MayForward(kind, status), kind == route.Repeatable || !assuring[status]; got != want {
				t.Errorf("kind %d, status %d: got %v, want %v", kind, status, got, want)
			}
		}
	}
}

func TestRefusalStatus(t *testing.T) {
	for status := 400; status <= 599; status++ {
		if got := RefusalStatus(true, status); got != status {
			t.Errorf("not run, status %d: got %d, want it unchanged", status, got)
		}
		if got := RefusalStatus(false, status); Gives(got) || !Gives(status) && got != status {
			t.Errorf("may have run, status %d: got %d, want it unchanged or one that assures nothing", status, got)
		}
	}
}
