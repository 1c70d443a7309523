package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// perServer is how many runs the crashing server has when its memory runs out, and preemptGap is the time from one preemption to the next.
	perServer  = 14
	preemptGap = 85 * time.Millisecond
	// preemptedFor is how long a preempted run waits in its server's queue.
	preemptedFor = 6 * time.Second
	// crashAfter is the time from the first preemption to the crash.
	crashAfter = 2400 * time.Millisecond
	// preempting is what the crashing server writes when it begins to preempt its runs.
	preempting = "memory runs out"
	longAnswer = 2000 // tokens
	hinted     = 300  // tokens that clients expect
)

// serveAlone is a model server in a process of its own. Its streams have no length. Once it has enough runs, its memory runs out and it
// preempts all but one of them, one after the other; they wait in its queue. It writes its entry for the store and then its record to standard
// output, and runs until it is killed.
func serveAlone(name, ip, zone string) {
	rec := recordTo(os.Stdout)
	e := startEngine(&pool{engines: make(map[string]*engine), handles: make(map[string]*handle)}, rec, name, ip, zone)
	e.unframed, e.queues = true, true
	var mu sync.Mutex
	order := make(map[string]int) // of the runs
	var begun time.Time
	e.pauseAt = func(_ *engine, id string, events int) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if _, ok := order[id]; !ok {
			order[id] = len(order)
		}
		if begun.IsZero() && len(order) == perServer && events > 20 {
			begun = time.Now()
			rec.add("", name, preempting)
		}
		at := order[id]
		if begun.IsZero() || at == 0 || at < 0 || time.Since(begun) < time.Duration(at)*preemptGap {
			return 0
		}
		order[id] = -1 // it is preempted once
		return preemptedFor
	}
	entry, err := json.Marshal(e.entry(streamService, 32))
	if err != nil {
		panic(err)
	}
	fmt.Println(string(entry))
	select {}
}

// alone is the process of serveAlone.
type alone struct {
	cmd     *exec.Cmd
	entry   map[string]any
	preempt chan struct{} // closed when it begins to preempt runs
	ended   chan struct{}
}

func startAlone(b *bed, name, ip, zone string) (*alone, error) {
	cmd := exec.Command(os.Args[0], "server", name, ip, zone)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	a := &alone{cmd: cmd, preempt: make(chan struct{}), ended: make(chan struct{})}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.New("the server did not start")
	}
	if err := json.Unmarshal(lines.Bytes(), &a.entry); err != nil {
		return nil, err
	}
	go func() {
		for lines.Scan() {
			b.rec.add("", name, "wrote %s", strings.TrimSpace(lines.Text()))
			if strings.Contains(lines.Text(), preempting) {
				close(a.preempt)
			}
		}
		_ = cmd.Wait()
		close(a.ended)
	}()
	return a, nil
}

// kill ends the process as a crash does.
func (a *alone) kill() {
	_ = a.cmd.Process.Kill()
	<-a.ended
}

// crashAfterOrder plays a server that preempts most of its runs and then crashes. The other servers are full.
func crashAfterOrder(b *bed) ([]string, error) {
	const network, servers = "127.0.11.", 9
	b.startStore(network + "2")
	full := func(_, from string) bool { return from != "" }
	for i := range servers - 1 {
		e := startEngine(b.pool, b.rec, "i-"+string(rune('b'+i)), network+strconv.Itoa(22+i), "zone-"+string(rune('a'+(i+1)%3)))
		e.fullFor = full
		b.store.put("servers/"+e.name, e.entry(streamService, 32))
	}
	a, err := startAlone(b, "i-a", network+"21", "zone-a")
	if err != nil {
		return nil, err
	}
	defer a.kill()
	b.store.put("servers/i-a", a.entry)
	b.store.put("op/config", config())
	if err := b.addNodes([]string{"zone-a", "zone-b"}, network+"11", network+"12"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var broken []string
	var group sync.WaitGroup
	for i := range perServer*servers + 9 {
		id := fmt.Sprintf("%016x", 0xf000+i)
		group.Go(func() {
			if status, last, whole := ask(b, "/plan/2f", id, longAnswer, hinted); status == 200 && whole && last != longAnswer/4 {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s ended as complete after event %d of %d", id, last, longAnswer/4))
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	select {
	case <-a.preempt:
	case <-time.After(15 * time.Second):
		return nil, errors.New("the server got too few requests to preempt any")
	}
	if b.trouble {
		time.Sleep(crashAfter)
		b.rec.add("", "i-a", "crashes")
		a.kill()
	}
	group.Wait()
	return broken, nil
}
