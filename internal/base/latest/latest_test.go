package latest

import (
	"context"
	"testing"
	"testing/synctest"
)

func TestTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var topic Topic[int]
		ctx, cancel := context.WithCancel(t.Context())
		early := topic.Subscribe(ctx)
		select {
		case got := <-early:
			t.Errorf("before the first value: got %d, want no value", got)
		default:
		}
		for v := range 5 {
			topic.Publish(v)
		}
		if got, want := <-early, 4; got != want {
			t.Errorf("slow reader: got %d, want %d", got, want)
		}
		late := topic.Subscribe(ctx)
		if got, want := <-late, 4; got != want {
			t.Errorf("late reader: got %d, want %d", got, want)
		}
		cancel()
		synctest.Wait()
		topic.Publish(5)
		select {
		case got := <-late:
			t.Errorf("after its context ended: got %d, want no value", got)
		default:
		}
		if got, want := len(topic.readers), 0; got != want {
			t.Errorf("readers left: got %d, want %d", got, want)
		}
	})
}
