package caller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ebonyferry/internal/edge/caller"
)

// FuzzCompletion checks that any body and headers get an error in the protocol's format that says that nothing was run.
// The error is that of an invalid request or the refusal of the dispatcher, which grants nothing here.
func FuzzCompletion(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"stop":["a"]}`, "quick", "900ms")
	f.Add(`{"model":"m","messages":[{"role":"user","content":null}],"max_tokens":3,"n":1}`, "", "")
	f.Add(`{"model":"m","messages":"x"}`, "batch", "2030-01-01T00:00:00Z")
	h := newHarness(f, 0, nil)
	h.dispatcher.refusal = &caller.Refusal{Reason: caller.ReasonOverloaded, Message: "no capacity", NotRun: true}
	handler := h.server.Handler()
	f.Fuzz(func(t *testing.T, body, class, deadline string) {
		r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body))
		r.Header = http.Header{"Authorization": {"Bearer " + aliceKey}, "Ferry-Class": {class}, "Ferry-Deadline": {deadline}}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		var got struct {
			Error wireFailure `json:"error"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatalf("answer %q: %v", w.Body, err)
		}
		if got.Error.Code == "" || !got.Error.Ferry.NotRun || w.Code == http.StatusInternalServerError {
			t.Errorf("got %d %q, want a refusal or an error of the request that was not run", w.Code, w.Body)
		}
	})
}
