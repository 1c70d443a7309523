package ferrybench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"ebonyferry/internal/edge/engine"
	"ebonyferry/internal/run/exit"
)

func TestExitCodes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // stand-ins stop immediately
	tests := []struct {
		args string
		want exit.Code
	}{
		{"--help", exit.Done},
		{"engine --listen 127.0.0.1:0", exit.Done},
		{"engine --listen 192.0.2.1:0", exit.Usage},
		{"engine --listen 127.0.0.1:0 --model m", exit.Usage},
		{"engine --listen here", exit.Usage},
		{"service", exit.Usage},
		{"platform --listen 127.0.0.1:0 --writes 300", exit.Done},
		{"platform --listen 192.0.2.1:0", exit.Usage},
		{"link --listen 127.0.0.1:0 --target 127.0.0.1:9 --stall sideways", exit.Usage},
		{"no-such-command", exit.Usage},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if got := Main(ctx, strings.Fields(tt.args), &out, &errOut); got != tt.want {
				t.Errorf("got %d, want %d\n%s%s", got, tt.want, out.String(), errOut.String())
			}
		})
	}
}

func TestEngineCommandServes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	out, w := io.Pipe()
	code := make(chan exit.Code, 1)
	args := "engine --listen 127.0.0.1:0 --step 1ms --model m@v1 --output json"
	go func() { code <- Main(ctx, strings.Fields(args), w, io.Discard) }()
	reports := json.NewDecoder(out)
	var listening ListenReport
	if err := reports.Decode(&listening); err != nil {
		t.Fatal(err)
	}
	s, err := engine.New(listening.Addr).Generate(ctx, engine.GenerateRequest{Generation: "g", Model: "m", Version: "v1", Prompt: "#tokens=2"})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	var got struct{ Finished int }
	if err := reports.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if want := 1; got.Finished != want {
		t.Errorf("finished: got %d, want %d", got.Finished, want)
	}
	if got, want := <-code, exit.Done; got != want {
		t.Errorf("exit code: got %d, want %d", got, want)
	}
}
