package bounded

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

// closeCounter is a body that counts how often it is closed.
type closeCounter struct {
	*strings.Reader
	closed int
}

func (c *closeCounter) Close() error { c.closed++; return nil }

func TestStatusesOfNoFinalAnswer(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 101, 199, 600, 999, 1000} {
		body := &closeCounter{Reader: strings.NewReader("x")}
		if err := CheckStatus(&http.Response{StatusCode: status, Body: body}); !errors.Is(err, ErrStatus) || body.closed != 1 {
			t.Errorf("status %d: got %v, body closed %d times; want %v and once", status, err, body.closed, ErrStatus)
		}
	}
	for _, status := range []int{200, 299, 304, 404, 500, 599} {
		body := &closeCounter{Reader: strings.NewReader("x")}
		if err := CheckStatus(&http.Response{StatusCode: status, Body: body}); err != nil || body.closed != 0 {
			t.Errorf("status %d: got %v, body closed %d times; want neither", status, err, body.closed)
		}
	}
}
