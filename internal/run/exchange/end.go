// This file defines how the end of a stream is known.

package exchange

import (
	"errors"
	"io"
)

// streamEnd is how a server's stream ended.
type streamEnd string

const (
	endMarked streamEnd = "marked" // the server marked the end
	endClosed streamEnd = "closed" // the server closed the connection, and nothing else marks the end
	endBroken streamEnd = "broken" // reset, cut short or unreadable
)

// endOf returns how a stream ended whose Next returned err.
func endOf(err error) streamEnd {
	switch {
	case errors.Is(err, io.EOF):
		return endMarked
	case errors.Is(err, ErrClosed):
		return endClosed
	}
	return endBroken
}
