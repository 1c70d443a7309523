// This file defines the messages of the OpenAI completion protocol, with this system's additions under "ferry".

package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"ebonyferry/internal/edge/engine"
)

// completionRequest holds the fields of both completion calls that this system uses. Other fields are ignored, as
// clients expect.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	Stop                stopList        `json:"stop"`
	PresencePenalty     *float64        `json:"presence_penalty"`
	FrequencyPenalty    *float64        `json:"frequency_penalty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a string or a list of text parts.
type chatContent string

// UnmarshalJSON accepts a string, null, or a list of parts of type "text".
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err == nil {
		if text != nil {
			*c = chatContent(*text)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("message content is neither a string nor a list of parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("message content part of type %q is not supported", part.Type)
		}
		b.WriteString(part.Text)
	}
	*c = chatContent(b.String())
	return nil
}

// stopList is a string or a list of strings.
type stopList []string

// UnmarshalJSON accepts a string, null, or a list of strings.
func (l *stopList) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err == nil {
		if text != nil {
			*l = stopList{*text}
		}
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.New("stop is neither a string nor a list of strings")
	}
	*l = list
	return nil
}

// promptText returns the prompt to send to the engine.
func (r *completionRequest) promptText(chat bool) (string, *apiError) {
	if !chat {
		var prompt string
		if err := json.Unmarshal(r.Prompt, &prompt); err != nil {
			return "", invalid("prompt", "prompt is not a string")
		}
		return prompt, nil
	}
	if len(r.Messages) == 0 {
		return "", invalid("messages", "messages is empty")
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	return b.String(), nil
}

// maxTokens returns the limit on the tokens of the answer, or 0 if the caller set none.
func (r *completionRequest) maxTokens() (int, *apiError) {
	n := r.MaxCompletionTokens
	if n == nil {
		n = r.MaxTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n < 1 {
		return 0, invalid("max_tokens", fmt.Sprintf("max_tokens is %d and must be at least 1", *n))
	}
	return *n, nil
}

func (r *completionRequest) sampling() *engine.Sampling {
	return &engine.Sampling{
		Temperature:      r.Temperature,
		TopP:             r.TopP,
		Seed:             r.Seed,
		Stop:             r.Stop,
		PresencePenalty:  r.PresencePenalty,
		FrequencyPenalty: r.FrequencyPenalty,
	}
}

// ferryInfo holds the fields that this system adds to each chunk and answer.
type ferryInfo struct {
	Generation  string `json:"generation"`
	Index       *int   `json:"index,omitempty"`       // of the chunk's token
	ResumeToken string `json:"resumeToken,omitempty"` // on the first chunk of a generation
	Restarted   bool   `json:"restarted,omitempty"`   // the tokens so far are void; the next has index 0
	Finished    bool   `json:"finished,omitempty"`    // the answer is complete
	Tokens      *int   `json:"tokens,omitempty"`      // number of tokens in the complete answer
	Digest      string `json:"digest,omitempty"`      // hexadecimal SHA-256 over all token texts
}

// completion is a chunk of a stream or a complete answer, of either call.
type completion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"` // Unix seconds
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usage     `json:"usage,omitempty"`
	Ferry   *ferryInfo `json:"ferry,omitempty"`
}

type choice struct {
	Index        int       `json:"index"`
	Delta        *chatPart `json:"delta,omitempty"`   // chat chunk
	Message      *chatPart `json:"message,omitempty"` // complete chat answer
	Text         *string   `json:"text,omitempty"`    // text completion
	FinishReason *string   `json:"finish_reason"`
}

type chatPart struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
