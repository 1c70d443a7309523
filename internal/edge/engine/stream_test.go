package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// readTokens reads body as the stream of generation "g" from index 0.
func readTokens(body string) (tokens []Token, err error) {
	resp := &http.Response{Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{"Content-Type": {"text/event-stream"}}}
	s := newStream(resp, func() {}, "g", 0)
	for {
		tok, err := s.Next()
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, tok)
	}
}

const (
	first           = `data: {"generation":"g","index":0,"text":"a "}` + "\n\n"
	second          = `data: {"generation":"g","index":1,"text":"b "}` + "\n\n"
	third           = `data: {"generation":"g","index":2,"text":"c "}` + "\n\n"
	otherGeneration = `data: {"generation":"h","index":1,"text":"x "}` + "\n\n"
	finished        = `data: {"generation":"g","index":2,"finished":true,"reason":"stop"}` + "\n\n"
)

func TestStreamNext(t *testing.T) {
	tests := []struct {
		name    string
		body    string
		want    int
		wantErr error
	}{
		{"whole", first + second + finished, 3, io.EOF},
		{"comments and CRLF", ": hi\r\n\r\n" + strings.ReplaceAll(first+second+finished, "\n", "\r\n"), 3, io.EOF},
		{"nothing after the end is read", first + second + finished + third, 3, io.EOF},
		{"empty", "", 0, ErrTruncated},
		{"cut between events", first + second, 2, ErrTruncated},
		{"cut inside an event", first + second[:20], 1, ErrTruncated},
		{"cut before the blank line", first + second[:len(second)-1], 1, ErrTruncated},
		{"not JSON", first + "data: {\n\n", 1, ErrTruncated},
		{"repeated", first + first + finished, 1, ErrOutOfOrder},
		{"skipped", first + third + finished, 1, ErrOutOfOrder},
		{"foreign", first + otherGeneration + second, 1, ErrOutOfOrder},
		{"finished too early", first + finished, 1, ErrOutOfOrder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := readTokens(tt.body)
			if len(got) != tt.want || !errors.Is(err, tt.wantErr) {
				t.Errorf("got %d tokens, %v, want %d, %v", len(got), err, tt.want, tt.wantErr)
			}
		})
	}
}

// Whatever the engine sends, the stream must return only tokens of its generation, in order and without gaps, and
// io.EOF only after a final event.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{first + second + finished, first + otherGeneration, first + third, "data\n\n", ":\n", "data: null\n\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		tokens, err := readTokens(body)
		for i, tok := range tokens {
			if tok.Generation != "g" || tok.Index != i {
				t.Errorf("token %d: got generation %q, index %d", i, tok.Generation, tok.Index)
			}
		}
		whole := len(tokens) > 0 && tokens[len(tokens)-1].Finished
		if got, want := errors.Is(err, io.EOF), whole; got != want {
			t.Errorf("ended with %v, finished %t", err, want)
		}
		if _, again := json.Marshal(tokens); again != nil {
			t.Errorf("tokens: %v", again)
		}
	})
}

func TestPrefixHashes(t *testing.T) {
	prompt := strings.Repeat("x", 3*BlockBytes+5)
	hashes := PrefixHashes("m", prompt)
	if got, want := len(hashes), 3; got != want {
		t.Fatalf("prefixes: got %d, want %d", got, want)
	}
	for i, got := range hashes {
		if want := PrefixHash("m", prompt[:(i+1)*BlockBytes]); got != want {
			t.Errorf("prefix %d: got %x, want %x", i, got, want)
		}
	}
	if got := PrefixHashes("other", prompt)[0]; got == hashes[0] {
		t.Errorf("models share the hash %x", got)
	}
}
