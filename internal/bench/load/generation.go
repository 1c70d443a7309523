// This file defines how a caller gets a generated answer: in one piece, or as a stream that it resumes after a cut.

package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"

	"ebonyferry/internal/base/bounded"
)

const (
	pathChat   = "/v1/chat/completions"
	pathText   = "/v1/completions"
	pathResume = "/v1/ferry/resume"
)

// completionRequest is the body of either completion call.
type completionRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages,omitempty"`
	Prompt   string        `json:"prompt,omitempty"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resumeRequest is the body of a resume call.
type resumeRequest struct {
	ResumeToken string `json:"resumeToken"`
	Index       int    `json:"index"`
}

// chunk is an event of a stream, or a whole answer.
type chunk struct {
	Choices []struct {
		Delta        *chatMessage `json:"delta"`
		Message      *chatMessage `json:"message"`
		Text         string       `json:"text"`
		FinishReason *string      `json:"finish_reason"`
	} `json:"choices"`
	Ferry *ferryInfo `json:"ferry"`
	Error *apiError  `json:"error"`
}

// ferryInfo is what the node adds to the OpenAI protocol.
type ferryInfo struct {
	Generation  string `json:"generation"`
	Index       *int   `json:"index"`
	ResumeToken string `json:"resumeToken"`
	Restarted   bool   `json:"restarted"`
	Finished    bool   `json:"finished"`
	Tokens      *int   `json:"tokens"`
	Digest      string `json:"digest"`
}

func (c *chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	ch := c.Choices[0]
	switch {
	case ch.Delta != nil:
		return ch.Delta.Content
	case ch.Message != nil:
		return ch.Message.Content
	}
	return ch.Text
}

func (c *chunk) finishReason() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}

// errCut means that an answer ended before it was complete.
var errCut = errors.New("answer was cut")

// generate gets one generated answer. It retries and resumes until the caller's limits are reached.
func (c *caller) generate(ctx context.Context, req *request) ending {
	ans := newAnswer(c.g.rec, req)
	var tries attempts
	for {
		addr := c.entry(ctx)
		apiErr, err := c.attempt(ctx, addr, req, ans)
		if ans.finished {
			return ending{outcome: Complete}
		}
		if ctx.Err() != nil && apiErr == nil {
			tries.add(nil, err)
			return tries.ending()
		}
		tries.add(apiErr, err)
		c.handleFailure(addr, ans, apiErr, err)
		if !tries.pause(ctx, c.g) {
			return tries.ending()
		}
	}
}

// handleFailure decides after a failed attempt whether the generation can be resumed and whether to avoid the address.
func (c *caller) handleFailure(addr netip.AddrPort, ans *answer, apiErr *apiError, err error) {
	if err != nil {
		c.markFailed(addr)
		if ans.resumeToken != "" {
			c.g.rec.addCut(addr)
		}
		return
	}
	if ans.resumeToken != "" && !apiErr.Ferry.Resumable && !apiErr.Ferry.NotRun {
		ans.reset()
	}
	if apiErr.Code == "nodeEnds" {
		c.g.rec.addCut(addr)
		c.markFailed(addr)
	}
}

// attempt makes one attempt: a resume call if the caller holds a resume token, else the request itself. It returns
// the node's error, or the error of an answer that was cut.
func (c *caller) attempt(ctx context.Context, addr netip.AddrPort, req *request, ans *answer) (*apiError, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var headersTimer *time.Timer
	if req.stream {
		headersTimer = time.AfterFunc(headersTimeout, cancel) // in case the node never answers
		defer headersTimer.Stop()
	}
	path, header, body, err := c.buildCall(req, ans)
	if err != nil {
		return nil, err
	}
	resp, err := c.send(ctx, addr, http.MethodPost, path, header, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if headersTimer != nil {
		headersTimer.Stop()
	}
	if resp.StatusCode != http.StatusOK {
		return readError(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.readStream(ctx, cancel, resp, ans)
	}
	return nil, c.readWhole(resp, ans)
}

// buildCall returns the path, header and body of the next attempt.
func (c *caller) buildCall(req *request, ans *answer) (path string, header http.Header, body []byte, err error) {
	if ans.resumeToken != "" {
		c.g.rec.addResume()
		body, err = json.Marshal(resumeRequest{ResumeToken: ans.resumeToken, Index: ans.next})
		return pathResume, nil, body, err
	}
	msg := completionRequest{Model: req.model, Prompt: req.prompt, Stream: req.stream}
	path = pathText
	if req.chat {
		path = pathChat
		msg.Prompt = ""
		msg.Messages = []chatMessage{{Role: "user", Content: req.prompt}}
	}
	header = http.Header{"Ferry-Class": {string(req.kind)}}
	if req.restart {
		header["Ferry-On-Engine-Loss"] = []string{"restart"}
	}
	body, err = json.Marshal(msg)
	return path, header, body, err
}

// readError reads an error answer.
func readError(resp *http.Response) (*apiError, error) {
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCut, err)
	}
	if e := parseError(data); e != nil {
		return e, nil
	}
	return nil, fmt.Errorf("node answered %s without a typed error", resp.Status)
}

// readWhole reads an answer that is not streamed.
func (c *caller) readWhole(resp *http.Response, ans *answer) error {
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil || ch.Ferry == nil {
		return fmt.Errorf("%w: answer is not a completion", errCut)
	}
	ans.addWhole(&ch)
	return nil
}

// streamSilence is how long a caller waits for the next event before it resumes elsewhere.
const streamSilence = 8 * time.Second

// readStream reads events until the answer is finished, is cut, or ends with an error.
func (c *caller) readStream(ctx context.Context, cancel context.CancelFunc, resp *http.Response, ans *answer) (*apiError, error) {
	silence := time.AfterFunc(streamSilence, cancel)
	defer silence.Stop()
	events := ssestream.NewDecoder(resp)
	for events.Next() {
		silence.Reset(streamSilence)
		data := events.Event().Data
		if strings.TrimSpace(string(data)) == "[DONE]" {
			ans.streamEnded()
			return nil, errCut // callers of readStream check first whether the answer is finished
		}
		var ch chunk
		if err := json.Unmarshal(data, &ch); err != nil {
			return nil, fmt.Errorf("%w: event is not JSON: %w", errCut, err)
		}
		if ch.Error != nil && ch.Error.Ferry != nil {
			return ch.Error, nil
		}
		ans.addChunk(&ch, time.Now())
	}
	if err := errors.Join(events.Err(), context.Cause(ctx)); err != nil {
		return nil, fmt.Errorf("%w: %w", errCut, err)
	}
	return nil, errCut
}
