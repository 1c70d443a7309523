package bounded

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrStatus means that an answer has a status that no final answer has.
var ErrStatus = errors.New("answer of no final status")

// The statuses of final answers. net/http reads any of three digits, and panics when it is told to write one below 100.
const (
	minStatus = 200
	maxStatus = 599
)

// IsFinal reports whether a final answer may have a status.
func IsFinal(status int) bool { return status >= minStatus && status <= maxStatus }

// CheckStatus returns an error that wraps ErrStatus, and closes the body, if an answer is not final. The body must not be read then: that
// of an answer of status 101 is the connection, which no context ends.
func CheckStatus(resp *http.Response) error {
	if IsFinal(resp.StatusCode) {
		return nil
	}
	resp.Body.Close()
	return fmt.Errorf("%w: status %d", ErrStatus, resp.StatusCode)
}

// WithoutRedirects returns a copy of a client that returns redirects as they are. Followed, they would let a peer send a call to any address, whose
// answer would count as the peer's.
func WithoutRedirects(c *http.Client) *http.Client {
	stays := *c
	stays.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &stays
}
