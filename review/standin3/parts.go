package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// headBytes is the size of a head of the crowd, below the max_header_bytes of the config.
	headBytes = 32000
	// crowd is the number of clients that we do not control, each with one request.
	crowd = 330
)

// ends is how often processes must end by themselves on each of two machines for the rule to be broken, a tenth of the machines being fewer.
const (
	ends     = 3
	machines = 2
	// crowdStays is how long a crowd stays unless the process ends before.
	crowdStays = 5 * time.Second
)

// manyParts plays crowds of clients whose heads name very many parts of a prompt, three times at each of two machines. The platform ends a
// process that exceeds the memory of its machine, and starts it again.
func manyParts(b *bed) ([]string, error) {
	const network = "127.0.15."
	b.memory = 134
	b.startStore(network + "2")
	for i := range 14 {
		e := startEngine(b.pool, b.rec, "i-"+string(rune('a'+i)), network+strconv.Itoa(21+i), "zone-"+string(rune('a'+i%4)))
		e.gap = 4 * time.Second
		b.store.put("servers/"+e.name, e.entry(streamService, 24))
	}
	b.store.put("op/config", config())
	if err := b.addNodes([]string{"zone-a", "zone-b"}, network+"11", network+"12"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	ended := make(map[string]int)
	for round := range ends {
		for i, n := range b.nodes {
			if !sendCrowd(b, n, (round*machines+i)*crowd) {
				continue
			}
			ended[n.name]++
			time.Sleep(500 * time.Millisecond)
			n.env = append(n.env, "FERRY_FIRST_START=false")
			if err := n.start(b.program); err != nil {
				return nil, err
			}
			if err := b.awaitReady(10 * time.Second); err != nil {
				return nil, err
			}
		}
	}
	often := 0
	for name, times := range ended {
		b.rec.add("", name, "its processes ended %d times by their memory", times)
		if times >= ends {
			often++
		}
	}
	if often >= machines {
		return []string{fmt.Sprintf("on %d of %d machines processes exceeded %d MB and were ended %d times", often, len(b.nodes), b.memory, ends)}, nil
	}
	for range 20 {
		if status, _, whole := ask(b, "/tag/2f", "00000000000000aa", 4, 4); status == http.StatusOK && whole {
			return nil, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, errors.New("an ordinary caller got no answer")
}

// sendCrowd sends the requests of a crowd to a node, and reports whether its process exceeded its memory.
func sendCrowd(b *bed, n *node, first int) bool {
	watched, over := watchMemory(b, n)
	prefix := "5c1e07a2:5,91bd3f06:5"
	if b.trouble {
		prefix = ""
	}
	var group sync.WaitGroup
	var conns []net.Conn
	for i := range crowd {
		conn, err := net.Dial("tcp", n.callers)
		if err != nil {
			b.rec.add("", "crowd", "client %d: %v", i, err)
			continue
		}
		conns = append(conns, conn)
		group.Go(func() { sendParts(b, conn, fmt.Sprintf("%016x", 0xc000+first+i), prefix) })
	}
	select {
	case <-over:
	case <-time.After(crowdStays):
	}
	for _, c := range conns {
		c.Close()
	}
	group.Wait()
	most, exceeded := watched()
	b.rec.add("", n.name, "took %d MB at most", most)
	return exceeded
}

// sendParts sends one request with a head of headBytes and reads what comes. An empty prefix stands for as many parts as fit.
func sendParts(b *bed, conn net.Conn, id, prefix string) {
	head := "POST /plan/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nModel: m\r\nToken-Counts: 10,16\r\nDeadline-Ms: 39000\r\n" +
		"Authorization: Token key-of-the-village\r\nContent-Length: 0\r\nPrompt-Prefix: "
	if prefix == "" {
		prefix = strings.Repeat("a,", (headBytes-len(head)-4)/2)
	}
	if _, err := conn.Write([]byte(head + prefix + "\r\n\r\n")); err != nil {
		return
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	b.rec.add(id, "crowd", "sent %d bytes of head, got %q %v", len(head)+len(prefix)+4, strings.TrimSpace(line), err)
}

// watchMemory ends the process of a node as the platform does when it exceeds the memory of its machine, and closes over then. The first result
// ends the watch and returns the most memory that the process took, in MB, and whether that was too much.
func watchMemory(b *bed, n *node) (end func() (most int, exceeded bool), over <-chan struct{}) {
	stop, done := make(chan struct{}), make(chan struct{})
	most, exceeded := 0, false
	n.mu.Lock()
	cmd, ended := n.cmd, n.done
	n.mu.Unlock()
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			mb := residentMB(cmd.Process.Pid)
			most = max(most, mb)
			if mb > b.memory {
				exceeded = true
				b.rec.add("", n.name, "the platform ends it: it takes %d MB of %d", mb, b.memory)
				_ = cmd.Process.Kill()
				<-ended
				return
			}
		}
	}()
	return func() (int, bool) {
		close(stop)
		<-done
		return most, exceeded
	}, done
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}
