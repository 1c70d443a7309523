// This file tests that OpenAI's unmodified client library works with a node.

package serve_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"ebonyferry/internal/edge/caller"
	fakeengine "ebonyferry/internal/fake/engine"
)

const chatPrompt = "grade check #tokens=12"

// answerTo returns the engine's answer to prompt.
func answerTo(prompt string) string {
	var b strings.Builder
	for i := range fakeengine.Length(prompt) {
		b.WriteString(fakeengine.TokenText(prompt, i))
	}
	return b.String()
}

func newClient(t *testing.T, bearer string) openai.Client {
	t.Helper()
	n := newFixture(t).startNode("n1", nil)
	return openai.NewClient(option.WithBaseURL("http://"+n.CallerAddr().String()+"/v1"), option.WithAPIKey(bearer), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(chatPrompt)}}
}

func TestOpenAIClient(t *testing.T) {
	client := newClient(t, key)
	wantChat, wantText := answerTo("user: "+chatPrompt+"\n"), answerTo(chatPrompt)

	t.Run("whole chat", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), chatParams("m"))
		if err != nil {
			t.Fatal(err)
		}
		if got := got.Choices[0].Message.Content; got != wantChat {
			t.Errorf("content: got %q, want %q", got, wantChat)
		}
		if got, want := got.Usage.CompletionTokens, int64(12); got != want {
			t.Errorf("completion tokens: got %d, want %d", got, want)
		}
		if got, want := got.Choices[0].FinishReason, "stop"; got != want {
			t.Errorf("finish reason: got %q, want %q", got, want)
		}
	})

	t.Run("streamed chat", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("m"))
		acc := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			if !acc.AddChunk(stream.Current()) {
				t.Fatalf("chunk does not follow the ones before: %s", stream.Current().RawJSON())
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if got := acc.Choices[0].Message.Content; got != wantChat {
			t.Errorf("content: got %q, want %q", got, wantChat)
		}
		if got, want := acc.Choices[0].Message.Role, "assistant"; string(got) != want {
			t.Errorf("role: got %q, want %q", got, want)
		}
	})

	t.Run("text", func(t *testing.T) {
		params := openai.CompletionNewParams{Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(chatPrompt)}}
		got, err := client.Completions.New(t.Context(), params)
		if err != nil {
			t.Fatal(err)
		}
		if got := got.Choices[0].Text; got != wantText {
			t.Errorf("text: got %q, want %q", got, wantText)
		}
		stream := client.Completions.NewStreaming(t.Context(), params)
		var b strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				b.WriteString(choice.Text)
			}
		}
		if got := b.String(); got != wantText || stream.Err() != nil {
			t.Errorf("streamed text: got %q, %v, want %q", got, stream.Err(), wantText)
		}
	})

	t.Run("models", func(t *testing.T) {
		got, err := client.Models.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Data) != 1 || got.Data[0].ID != "m" {
			t.Errorf("models: got %+v, want m alone", got.Data)
		}
	})
}

func TestOpenAIClientErrors(t *testing.T) {
	tests := []struct {
		name, key, model string
		wantStatus       int
		wantCode         string
	}{
		{"unknown model", key, "no-such-model", http.StatusNotFound, caller.ReasonUnknownModel},
		{"wrong key", "another-key", "m", http.StatusUnauthorized, "invalidKey"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := newClient(t, tt.key)
			_, err := client.Chat.Completions.New(t.Context(), chatParams(tt.model))
			var got *openai.Error
			if !errors.As(err, &got) {
				t.Fatalf("error: got %v, want an *openai.Error", err)
			}
			if got.StatusCode != tt.wantStatus || got.Code != tt.wantCode || got.Message == "" {
				t.Errorf("error: got status %d, code %q, message %q, want %d and %q", got.StatusCode, got.Code, got.Message, tt.wantStatus, tt.wantCode)
			}
		})
	}
}
