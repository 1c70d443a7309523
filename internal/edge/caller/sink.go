// This file defines how the tokens of a generation are written to a caller: as server-sent events or as one complete
// answer.

package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"ebonyferry/internal/base/budget"
)

// sink writes one answer. Only one goroutine may use it. An error of its methods means that the caller has left.
type sink interface {
	// begin starts a generation, before its first token. A second call voids the tokens of the first generation.
	begin(generation, resumeToken string) error
	token(index int, text string) error
	// finish ends a complete answer.
	finish(end answerEnd) error
	// fail ends the answer with an error.
	fail(e *apiError)
	// delivered returns the number of tokens of the current generation that the caller has been sent.
	delivered() int
	// resumable reports whether the caller has been sent a resume token of the current generation.
	resumable() bool
}

// answerEnd describes the end of a complete answer.
type answerEnd struct {
	reason       string // "stop" or "length"
	promptTokens int
	tokens       int
	digest       string
}

func (e answerEnd) usage() *usage {
	return &usage{PromptTokens: e.promptTokens, CompletionTokens: e.tokens, TotalTokens: e.promptTokens + e.tokens}
}

// answerFormat holds the data that all chunks of one answer share.
type answerFormat struct {
	chat    bool
	model   string
	created time.Time
}

// completion returns a chunk, or a complete answer, without choices.
func (s answerFormat) completion(generation string, complete bool) completion {
	c := completion{ID: "cmpl-" + generation, Object: "text_completion", Created: s.created.Unix(), Model: s.model, Choices: []choice{}}
	if s.chat {
		c.ID = "chatcmpl-" + generation
		c.Object = "chat.completion.chunk"
	}
	if s.chat && complete {
		c.Object = "chat.completion"
	}
	return c
}

// chunkChoice returns the choice of a chunk.
func (s answerFormat) chunkChoice(text, role string, finishReason *string) choice {
	if s.chat {
		return choice{Delta: &chatPart{Role: role, Content: text}, FinishReason: finishReason}
	}
	return choice{Text: &text, FinishReason: finishReason}
}

// answerChoice returns the choice of a complete answer.
func (s answerFormat) answerChoice(text, finishReason string) choice {
	if s.chat {
		return choice{Message: &chatPart{Role: "assistant", Content: text}, FinishReason: &finishReason}
	}
	return choice{Text: &text, FinishReason: &finishReason}
}

// eventSink writes server-sent events.
type eventSink struct {
	answerFormat
	w            http.ResponseWriter
	req          *http.Request
	rc           *http.ResponseController
	writeTimeout time.Duration
	withUsage    bool
	generation   string
	resumeToken  string // empty after a chunk has carried it
	started      bool   // the status line has been sent
	sent         int
	frame        []byte // reused for each event
}

func newEventSink(w http.ResponseWriter, r *http.Request, format answerFormat, writeTimeout time.Duration, withUsage bool) *eventSink {
	return &eventSink{answerFormat: format, w: w, req: r, rc: http.NewResponseController(w), writeTimeout: writeTimeout, withUsage: withUsage}
}

func (s *eventSink) delivered() int { return s.sent }

func (s *eventSink) resumable() bool { return s.started && s.resumeToken == "" }

func (s *eventSink) begin(generation, resumeToken string) error {
	again := s.started // an earlier generation was announced, even if it produced no token
	s.generation = generation
	s.resumeToken = resumeToken
	s.sent = 0
	if !again {
		return nil
	}
	c := s.completion(generation, false)
	c.Ferry = &ferryInfo{Generation: generation, Restarted: true, ResumeToken: s.takeResumeToken()}
	return s.send(c)
}

// takeResumeToken returns the resume token and clears it, so that only one chunk carries it.
func (s *eventSink) takeResumeToken() string {
	tok := s.resumeToken
	s.resumeToken = ""
	return tok
}

func (s *eventSink) token(index int, text string) error {
	c := s.completion(s.generation, false)
	role := ""
	if index == 0 {
		role = "assistant"
	}
	c.Choices = append(c.Choices, s.chunkChoice(text, role, nil))
	c.Ferry = &ferryInfo{Generation: s.generation, Index: &index, ResumeToken: s.takeResumeToken()}
	if err := s.send(c); err != nil {
		return err
	}
	s.sent = index + 1
	return nil
}

func (s *eventSink) finish(end answerEnd) error {
	c := s.completion(s.generation, false)
	c.Choices = append(c.Choices, s.chunkChoice("", "", &end.reason))
	c.Ferry = &ferryInfo{Generation: s.generation, Finished: true, Tokens: &end.tokens, Digest: end.digest, ResumeToken: s.takeResumeToken()}
	if err := s.send(c); err != nil {
		return err
	}
	if s.withUsage {
		u := s.completion(s.generation, false)
		u.Usage = end.usage()
		if err := s.send(u); err != nil {
			return err
		}
	}
	return s.writeLast([]byte("data: [DONE]\n\n"))
}

func (s *eventSink) fail(e *apiError) {
	e.delivered = s.sent
	if !s.started {
		writeError(s.w, e)
		return
	}
	e.notRun = false
	data, err := json.Marshal(e.wire())
	if err != nil {
		return
	}
	_ = s.writeLast(eventFrame(nil, data)) // fails only if the caller has left
}

// send writes one chunk as an event.
func (s *eventSink) send(c completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.frame = eventFrame(s.frame[:0], data)
	return s.write(s.frame)
}

// eventFrame appends data as a server-sent event to buf.
func eventFrame(buf, data []byte) []byte {
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	return append(buf, "\n\n"...)
}

// write writes and flushes data within the write timeout.
func (s *eventSink) write(data []byte) error {
	if !s.started {
		if err := s.start(); err != nil {
			return err
		}
	}
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.rc.Flush()
}

// writeLast writes data that ends the stream.
func (s *eventSink) writeLast(data []byte) error {
	if err := s.write(data); err != nil {
		return err
	}
	return s.resetOnClose(false)
}

// resetOnClose sets whether the close of the connection resets it, if the end of the stream is the end of the connection: there are no
// chunks before HTTP/1.1.
func (s *eventSink) resetOnClose(reset bool) error {
	if s.req.ProtoAtLeast(1, 1) {
		return nil
	}
	return budget.ResetOnClose(s.req.Context(), reset)
}

func (s *eventSink) start() error {
	if err := s.resetOnClose(true); err != nil {
		return err
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerGeneration, s.generation)
	s.w.WriteHeader(http.StatusOK)
	s.started = true
	return nil
}

// bufferedSink collects the tokens and writes one answer at the end. Nothing is delivered before that, so the node may
// retry a lost generation without notice to the caller.
type bufferedSink struct {
	answerFormat
	w           http.ResponseWriter
	rc          *http.ResponseController
	timeout     time.Duration
	generation  string
	resumeToken string
	text        strings.Builder
}

func newBufferedSink(w http.ResponseWriter, format answerFormat, writeTimeout time.Duration) *bufferedSink {
	return &bufferedSink{answerFormat: format, w: w, rc: http.NewResponseController(w), timeout: writeTimeout}
}

func (s *bufferedSink) delivered() int { return 0 }

func (s *bufferedSink) resumable() bool { return false }

func (s *bufferedSink) begin(generation, resumeToken string) error {
	s.generation = generation
	s.resumeToken = resumeToken
	s.text.Reset()
	return nil
}

func (s *bufferedSink) token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *bufferedSink) finish(end answerEnd) error {
	c := s.completion(s.generation, true)
	c.Choices = append(c.Choices, s.answerChoice(s.text.String(), end.reason))
	c.Usage = end.usage()
	c.Ferry = &ferryInfo{Generation: s.generation, Finished: true, Tokens: &end.tokens, Digest: end.digest, ResumeToken: s.resumeToken}
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerGeneration, s.generation)
	return json.NewEncoder(s.w).Encode(c)
}

func (s *bufferedSink) fail(e *apiError) { writeError(s.w, e) }
