package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// This file defines how the tokens of a generation are written to a caller: as server-sent events or as one
// whole answer.

// sink writes one answer. Its methods are called from one goroutine. Errors mean that the caller has left.
type sink interface {
	// begin announces a generation before its first token. A second call voids the tokens before.
	begin(generation, resumeToken string) error
	token(index int, text string) error
	// finish ends a whole answer.
	finish(end answerEnd) error
	// fail ends the answer with an error.
	fail(e *apiError)
	// delivered returns the number of tokens that the caller has been sent of the present generation.
	delivered() int
	// resumable reports whether the caller has been sent a resume token of the present generation.
	resumable() bool
}

// answerEnd describes a whole answer.
type answerEnd struct {
	reason       string // "stop" or "length"
	promptTokens int
	tokens       int
	digest       string
}

func (e answerEnd) usage() *usage {
	return &usage{PromptTokens: e.promptTokens, CompletionTokens: e.tokens, TotalTokens: e.promptTokens + e.tokens}
}

// shape holds what the chunks of one answer have in common.
type shape struct {
	chat    bool
	model   string
	created time.Time
}

// Returns an answer without choices.
func (s shape) completion(generation string, whole bool) completion {
	c := completion{ID: "cmpl-" + generation, Object: "text_completion", Created: s.created.Unix(), Model: s.model, Choices: []choice{}}
	if s.chat {
		c.ID = "chatcmpl-" + generation
		c.Object = "chat.completion.chunk"
	}
	if s.chat && whole {
		c.Object = "chat.completion"
	}
	return c
}

// Returns a choice of a streamed chunk.
func (s shape) chunkChoice(text, role string, finish *string) choice {
	if s.chat {
		return choice{Delta: &chatPart{Role: role, Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

// Returns the choice of a whole answer.
func (s shape) wholeChoice(text, finish string) choice {
	if s.chat {
		return choice{Message: &chatPart{Role: "assistant", Content: text}, FinishReason: &finish}
	}
	return choice{Text: &text, FinishReason: &finish}
}

// eventSink writes server-sent events.
type eventSink struct {
	shape
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	withUsage    bool
	generation   string
	resumeToken  string // until the next chunk has carried it
	started      bool   // the status line has been sent
	sent         int
	frame        []byte // reused for each event
}

func newEventSink(w http.ResponseWriter, sh shape, writeTimeout time.Duration, withUsage bool) *eventSink {
	return &eventSink{shape: sh, w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout, withUsage: withUsage}
}

func (s *eventSink) delivered() int { return s.sent }

func (s *eventSink) resumable() bool { return s.started && s.resumeToken == "" }

func (s *eventSink) begin(generation, resumeToken string) error {
	again := s.started // an earlier generation was announced, even if it has made no token
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

// Returns the resume token for the one chunk that carries it.
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
	return s.write([]byte("data: [DONE]\n\n"))
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
	_ = s.write(eventFrame(nil, data)) // the caller has left when this fails
}

// Writes one chunk as an event.
func (s *eventSink) send(c completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	s.frame = eventFrame(s.frame[:0], data)
	return s.write(s.frame)
}

// Appends data as a server-sent event to buf.
func eventFrame(buf, data []byte) []byte {
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	return append(buf, "\n\n"...)
}

// Writes and flushes bytes within the time a slow reader is given.
func (s *eventSink) write(data []byte) error {
	if !s.started {
		s.start()
	}
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *eventSink) start() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerGeneration, s.generation)
	s.w.WriteHeader(http.StatusOK)
	s.started = true
}

// wholeSink collects the tokens and writes one answer at the end. Nothing is delivered before, so a lost
// generation may run again unseen.
type wholeSink struct {
	shape
	w           http.ResponseWriter
	rc          *http.ResponseController
	timeout     time.Duration
	generation  string
	resumeToken string
	text        strings.Builder
}

func newWholeSink(w http.ResponseWriter, sh shape, writeTimeout time.Duration) *wholeSink {
	return &wholeSink{shape: sh, w: w, rc: http.NewResponseController(w), timeout: writeTimeout}
}

func (s *wholeSink) delivered() int { return 0 }

func (s *wholeSink) resumable() bool { return false }

func (s *wholeSink) begin(generation, resumeToken string) error {
	s.generation = generation
	s.resumeToken = resumeToken
	s.text.Reset()
	return nil
}

func (s *wholeSink) token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *wholeSink) finish(end answerEnd) error {
	c := s.completion(s.generation, true)
	c.Choices = append(c.Choices, s.wholeChoice(s.text.String(), end.reason))
	c.Usage = end.usage()
	c.Ferry = &ferryInfo{Generation: s.generation, Finished: true, Tokens: &end.tokens, Digest: end.digest, ResumeToken: s.resumeToken}
	if err := s.rc.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerGeneration, s.generation)
	return json.NewEncoder(s.w).Encode(c)
}

func (s *wholeSink) fail(e *apiError) { writeError(s.w, e) }
