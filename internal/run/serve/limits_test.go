package serve

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"ebonyferry/internal/run/settings"
)

// A listener must not be able to use up what others need, a caller's request needs a second descriptor for its backend server, and a
// single request at its limits must find memory: a body of 4 MiB, its joined copy and a head of 3,000 lines.
func TestClientsLeaveRoom(t *testing.T) {
	names := []string{listenCallers, listenNodes, listenEntries, listenReady, listenStatus, listenOperators}
	for _, vm := range []settings.Limits{{MemoryMB: 64, MaxFiles: 128}, {MemoryMB: 112, MaxFiles: 3075}, {MemoryMB: 536, MaxFiles: 10250}, {}} {
		share := shareOf(vm)
		sum := 0
		for _, name := range names {
			most, _ := share.conns(name)
			sum += most
			if most < minConns {
				t.Errorf("%+v: connections of %s: got %d, want at least %d", vm, name, most, minConns)
			}
		}
		callers, _ := share.conns(listenCallers)
		if got := sum + callers; got > share.files {
			t.Errorf("%+v: descriptors of clients and of requests to backend servers: got %d, want at most %d", vm, got, share.files)
		}
		if got, want := share.memory*3/4, int64(2*4<<20+1<<20); got < want {
			t.Errorf("%+v: memory for one large request: got %d, want at least %d", vm, got, want)
		}
		if got := MemoryLimit(vm); got <= share.memory {
			t.Errorf("%+v: memory limit of the runtime: got %d, want above the clients' %d", vm, got, share.memory)
		}
		if callers < 300 && vm.MemoryMB >= 112 {
			t.Errorf("%+v: connections of callers: got %d, want at least 300", vm, callers)
		}
	}
}

// A client that causes a line with each connection must not fill the log.
func TestConnectionLogIsBounded(t *testing.T) {
	h := memory.New()
	l := newConnectionLog(&log.Logger{Handler: h}, listenCallers)
	for range 1000 {
		_, _ = l.Write([]byte("http: TLS handshake error\n"))
	}
	if got, limit := len(h.Entries), 3*connectionLogRate; got > limit || got == 0 {
		t.Errorf("lines: got %d, want between 1 and %d", got, limit)
	}
}
