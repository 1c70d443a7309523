// This file defines the stream of tokens, which arrive as server-sent events.

package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/openai/openai-go/v3/packages/ssestream"

	"ebonyferry/internal/base/bounded"
)

// maxEventBytes bounds what the engine sends for one event, read ahead included. An event holds one token.
const maxEventBytes = 256 << 10

// ErrOutOfOrder means that the engine sent a token of another generation or with an unexpected index.
var ErrOutOfOrder = errors.New("engine sent a token out of order")

// Stream reads the tokens of one generation. It is not safe for concurrent use.
//
// Next returns only tokens of the requested generation. Their indexes are consecutive and start at the requested one.
// The final event has the index after that of the last token.
type Stream struct {
	events     ssestream.Decoder
	body       *bounded.Reader // allows maxEventBytes for each event
	cancel     context.CancelFunc
	generation string
	next       int   // index that the next event must have
	err        error // returned by all further calls of Next
}

func newStream(resp *http.Response, cancel context.CancelFunc, generation string, index int) *Stream {
	body := bounded.NewReader(resp.Body, maxEventBytes)
	resp.Body = struct {
		io.Reader
		io.Closer
	}{body, resp.Body}
	return &Stream{events: ssestream.NewDecoder(resp), body: body, cancel: cancel, generation: generation, next: index}
}

// Next returns the next token. After the tokens it returns the event with Finished set, then io.EOF. The error wraps
// ErrTruncated if the stream ends or becomes unreadable before the final event, and ErrOutOfOrder if an event does not
// belong to the stream. After an error all further calls return the same error.
func (s *Stream) Next() (Token, error) {
	if s.err != nil {
		return Token{}, s.err
	}
	tok, err := s.read()
	if err != nil {
		s.err = err
		return Token{}, err
	}
	if tok.Finished {
		s.err = io.EOF
		return tok, nil
	}
	s.next++
	return tok, nil
}

// read reads and checks one event.
func (s *Stream) read() (Token, error) {
	s.body.Reset()
	if !s.events.Next() {
		if err := s.events.Err(); err != nil {
			return Token{}, fmt.Errorf("%w before index %d: %w", ErrTruncated, s.next, err)
		}
		return Token{}, fmt.Errorf("%w before index %d", ErrTruncated, s.next)
	}
	var tok Token
	if err := json.Unmarshal(s.events.Event().Data, &tok); err != nil {
		return Token{}, fmt.Errorf("%w before index %d: event is no token: %w", ErrTruncated, s.next, err)
	}
	if tok.Generation != s.generation {
		return Token{}, fmt.Errorf("%w: generation %q in the stream of %q", ErrOutOfOrder, tok.Generation, s.generation)
	}
	if tok.Index != s.next {
		return Token{}, fmt.Errorf("%w: index %d, want %d", ErrOutOfOrder, tok.Index, s.next)
	}
	return tok, nil
}

// Close closes the stream. The engine may continue the generation; Client.Cancel ends it.
func (s *Stream) Close() error {
	s.cancel()
	return s.events.Close()
}
