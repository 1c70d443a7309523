package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name   string
		d      time.Duration
		ctxFor time.Duration // until the context ends; zero means that it has already ended
		want   bool
		waited time.Duration
	}{
		{"full duration", time.Second, time.Minute, true, time.Second},
		{"context ends first", time.Minute, time.Second, false, time.Second},
		{"negative duration", -time.Second, time.Minute, true, 0},
		{"context already ended", time.Second, 0, false, 0},
		{"context already ended, no duration", 0, 0, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := ended
				if tt.ctxFor > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(t.Context(), tt.ctxFor)
					defer cancel()
				}
				began := time.Now()
				if got := For(ctx, tt.d); got != tt.want {
					t.Errorf("got %v, want %v", got, tt.want)
				}
				if got, want := time.Since(began), tt.waited; got != want {
					t.Errorf("waited %v, want %v", got, want)
				}
			})
		})
	}
}
