package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/openai/openai-go/v3/packages/ssestream"
)

// This file defines the stream of tokens, read as server-sent events.

// ErrOutOfOrder means that the engine sent a token of another generation, or one whose index is not the next.
var ErrOutOfOrder = errors.New("engine sent a token out of order")

// Stream reads the tokens of one generation. It is for one goroutine.
//
// Invariant: Next returns tokens of the generation asked for only, with indexes that grow by one from the one
// asked for; the event that finishes the stream has the next index.
type Stream struct {
	events     ssestream.Decoder
	cancel     context.CancelFunc
	generation string
	next       int   // index that the next event must have
	err        error // sticky once set
}

func newStream(resp *http.Response, cancel context.CancelFunc, generation string, index int) *Stream {
	return &Stream{events: ssestream.NewDecoder(resp), cancel: cancel, generation: generation, next: index}
}

// Next returns the next token, then the event with Finished set, then io.EOF. Its error wraps ErrTruncated when the
// stream ends before it is finished, and ErrOutOfOrder when the engine's events do not belong to the stream;
// after an error all further calls return it.
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

// Reads and checks one event.
func (s *Stream) read() (Token, error) {
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

// Close gives up the stream. The engine may go on with the generation; Cancel ends it there.
func (s *Stream) Close() error {
	s.cancel()
	return s.events.Close()
}
