package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"ebonyferry/internal/fake/link"
	"ebonyferry/internal/run/settings"
)

// This file defines a node process and the links that its callers and the store are reached by.

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	resumeGrace  = 10 * time.Second
	stallTimeout = 3 * time.Second
)

// Ports of a node. Each node has a loopback address of its own, so that no other socket takes them between the
// end of one process and the start of the next.
const (
	callerPort   = 7800
	nodePort     = 7801
	operatorPort = 7802
	statusPort   = 7803
)

// nodeUnit is one node: a process that is started, stopped and started anew, always under the same name and
// addresses.
type nodeUnit struct {
	name, domain string
	binary       string
	settings     string         // file
	log          string         // file that all its processes write to
	callerAddr   netip.AddrPort // of the link; what callers are told
	direct       netip.AddrPort // where the process itself listens for callers
	operators    netip.AddrPort
	status       netip.AddrPort
	callers      *link.Link // between callers and the node
	store        *link.Link // between the node and the store

	mu     sync.Mutex
	cmd    *exec.Cmd     // nil while no process runs; guarded by mu
	exited chan struct{} // closed when cmd has ended; guarded by mu
	code   int           // exit code of the last process; guarded by mu
	cpu    time.Duration // processor time of the last process; guarded by mu
}

// newNode makes the links and the settings file of a node. Its process is not started.
func newNode(ctx context.Context, w *world, binary string, i int) (*nodeUnit, error) {
	n := &nodeUnit{name: fmt.Sprintf("n%d", i+1), domain: domains[i%len(domains)], binary: binary}
	n.settings = w.path(n.name + ".json")
	n.log = w.path(n.name + ".log")
	addr := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(w.nodeIP(i), port) }
	n.direct, n.operators, n.status = addr(callerPort), addr(operatorPort), addr(statusPort)
	var err error
	n.callers = link.New(n.direct)
	if n.callerAddr, err = n.callers.Listen(ctx, loopback); err != nil {
		return nil, err
	}
	n.store = link.New(w.storeAddr)
	storeAddr, err := n.store.Listen(ctx, loopback)
	if err != nil {
		return nil, err
	}
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: n.name, Region: region, FailureDomain: n.domain, Peers: w.peers(i)}
	cfg.Listen = settings.Listen{Callers: n.direct, Nodes: addr(nodePort), Operators: n.operators, Status: n.status}
	cfg.Advertise = settings.Advertise{Callers: n.callerAddr, Nodes: addr(nodePort)}
	cfg.Platform.Addrs = []netip.AddrPort{storeAddr}
	cfg.Timing.ResumeGrace = settings.Duration{Duration: resumeGrace}
	cfg.Timing.StallTimeout = settings.Duration{Duration: stallTimeout}
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, data, 0o600)
}

// start starts a process. Its output is appended to the node's log.
func (n *nodeUnit) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return fmt.Errorf("node %s runs already", n.name)
	}
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own
	cmd := exec.Command(n.binary, "serve", "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node %s: %w", n.name, err)
	}
	n.cmd = cmd
	n.exited = make(chan struct{})
	go n.await(cmd, n.exited)
	return nil
}

// Waits for the end of a process.
func (n *nodeUnit) await(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // the exit code says how it ended
	n.mu.Lock()
	defer n.mu.Unlock()
	n.code = cmd.ProcessState.ExitCode()
	n.cpu = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	n.cmd = nil
	close(exited)
}

// signal sends a signal to the process, if there is one, and returns the channel that is closed at its end.
func (n *nodeUnit) signal(sig syscall.Signal) (exited <-chan struct{}, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil, false
	}
	_ = n.cmd.Process.Signal(sig) // one that has just ended needs none
	return n.exited, true
}

// kill ends the process at once and waits for its end.
func (n *nodeUnit) kill() {
	if exited, ok := n.signal(syscall.SIGKILL); ok {
		<-exited
	}
}

// drain asks the process to stop and waits. It returns false when it has not ended after wait.
func (n *nodeUnit) drain(wait time.Duration) bool {
	exited, ok := n.signal(syscall.SIGTERM)
	if !ok {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(wait):
		return false
	}
}

// exitCode returns the exit code of the last process that ended.
func (n *nodeUnit) exitCode() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.code
}

// ready waits until the node takes work.
func (n *nodeUnit) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if n.readyNow(ctx) {
			return nil
		}
		n.mu.Lock()
		gone := n.cmd == nil
		n.mu.Unlock()
		if gone {
			return fmt.Errorf("node %s ended with code %d; see %s", n.name, n.exitCode(), n.log)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %s is not ready; see %s: %w", n.name, n.log, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

func (n *nodeUnit) readyNow(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.status.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready.
func startAll(ctx context.Context, nodes []*nodeUnit) error {
	var errs []error
	for _, n := range nodes {
		errs = append(errs, n.start())
	}
	for _, n := range nodes {
		errs = append(errs, n.ready(ctx))
	}
	return errors.Join(errs...)
}
