package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is a small deployment: a store, model servers and nodes.
type bed struct {
	program string // of a node
	rec     *record
	trouble bool
	memory  int    // MB of a machine
	dir     string // temporary
	store   *store
	storeAt string
	pool    *pool
	nodes   []*node
}

func newBed(program string, rec *record, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	return &bed{
		program: program, rec: rec, trouble: trouble, memory: 284, dir: dir, store: newStore(),
		pool: &pool{engines: make(map[string]*engine), handles: make(map[string]*handle)},
	}, nil
}

// listen opens a listener on a free port of a loopback IP.
func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return ln
}

// startStore serves the store on a loopback IP.
func (b *bed) startStore(ip string) {
	ln := listen(ip)
	b.storeAt = ln.Addr().String()
	go func() { _ = http.Serve(ln, b.store.handler()) }()
}

// node is a process of the project.
type node struct {
	name, ip, zone string
	callers, ready string
	args           []string
	env            []string
	log            string
	rec            *record

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// freeAddrs returns different addresses that nothing listens on.
func freeAddrs(ip string, n int) []string {
	list := make([]string, n)
	for i := range list {
		ln := listen(ip)
		defer ln.Close()
		list[i] = ln.Addr().String()
	}
	return list
}

// addNodes writes the settings of nodes, one for each IP, and starts them.
func (b *bed) addNodes(zones []string, ips ...string) error {
	free := make([][]string, len(ips))
	control := make([]string, len(ips))
	for i, ip := range ips {
		free[i] = freeAddrs(ip, 5)
		control[i] = free[i][0]
	}
	for i, ip := range ips {
		n := &node{name: fmt.Sprintf("front-%d", i+1), ip: ip, zone: zones[i%len(zones)], callers: free[i][1], ready: free[i][2], rec: b.rec}
		text, err := json.Marshal(map[string]any{
			"node":     map[string]any{"name": n.name, "region": "region", "failureDomain": n.zone, "cpuCores": 0.4, "peers": control[:min(3, len(control))]},
			"listen":   map[string]any{"callers": n.callers, "nodes": control[i], "entries": free[i][3], "ready": n.ready, "status": free[i][4]},
			"platform": map[string]any{"addrs": []string{b.storeAt}, "speaks": "adapter"},
			"tls":      map[string]any{"plainText": true},
			"limits":   map[string]any{"memoryMB": b.memory, "maxFiles": 4100},
			"bounds": map[string]any{
				"retryRatio": 0.2, "retrySlack": 56, "retryWindow": "10s", "coldOver": 1.5, "coldSlack": 5, "settleTime": "3000ms", "stopGrace": "8s",
			},
		})
		if err != nil {
			return err
		}
		path := filepath.Join(b.dir, n.name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		n.args = []string{"serve", "--settings", path}
		n.log = filepath.Join(b.dir, n.name+".log")
		n.env = []string{
			"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "LANG=C", "EBONYFERRY_CONFIG=" + path, "GOGC=50", "FERRY_FIRST_START=true",
			"FERRY_DUTIES=addr= held= callsPerSecond= leaseTtl=ms reportWindow=s reportDue=s reportTolerance=",
		}
		b.nodes = append(b.nodes, n)
		if err := n.start(b.program); err != nil {
			return err
		}
	}
	return b.awaitReady(10 * time.Second)
}

func (n *node) start(program string) error {
	f, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	cmd := exec.Command(program, n.args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = n.env, f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	n.rec.add("", n.name, "process %d started", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.rec.add("", n.name, "process %d ended: %v", cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// awaitReady waits until all nodes are ready.
func (b *bed) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range b.nodes {
			resp, err := client.Get("http://" + n.ready + "/readiness")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(b.nodes) {
			return nil
		}
	}
	return errors.New("the nodes did not become ready")
}

// end ends all processes and removes the temporary folder.
func (b *bed) end() {
	for _, n := range b.nodes {
		n.mu.Lock()
		cmd, done := n.cmd, n.done
		n.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill()
		<-done
		b.keepLog(n)
	}
	_ = os.RemoveAll(b.dir)
}

// keepLog copies what a node logged of the requests and their servers into the record.
func (b *bed) keepLog(n *node) {
	data, err := os.ReadFile(n.log)
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		for _, name := range []string{"runStopOrdered", "streamContinued", "streamLost", "requestFailed", "requestRefused", "requestRepeated", "serverUnreachable", "generationPlaced", "streamEndJudged"} {
			if strings.Contains(line, `"message":"`+name) {
				b.rec.add("", n.name, "logged %s", strings.TrimSpace(line))
			}
		}
	}
}
