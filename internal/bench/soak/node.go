// This file defines a node's process and the links between it, its callers and the store.

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

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	resumeGrace  = 10 * time.Second
	stallTimeout = 3 * time.Second
)

// Ports of a node. Each node has its own loopback address, so no other socket can take them between the end of one
// process and the start of the next.
const (
	callerPort   = 7800
	nodePort     = 7801 // for other nodes
	operatorPort = 7802
	statusPort   = 7803
)

// nodeProcess is one node: a process that is started, stopped and restarted under the same name and addresses.
type nodeProcess struct {
	name, domain string
	binary       string
	settingsPath string
	logPath      string         // all its processes append to it
	callerAddr   netip.AddrPort // of the link; the address that the node advertises to callers
	directAddr   netip.AddrPort // on which the process listens for callers
	operatorAddr netip.AddrPort
	statusAddr   netip.AddrPort
	callerLink   *link.Link // between callers and the node
	storeLink    *link.Link // between the node and the store

	mu           sync.Mutex
	cmd          *exec.Cmd     // nil while no process runs; guarded by mu
	exited       chan struct{} // closed when cmd has exited; guarded by mu
	lastExitCode int           // exit code of the last process; guarded by mu
	lastCPUTime  time.Duration // processor time of the last process; guarded by mu
}

// newNode creates the links and the settings file of a node. It does not start its process.
func newNode(ctx context.Context, env *environment, binary string, i int) (*nodeProcess, error) {
	n := &nodeProcess{name: fmt.Sprintf("n%d", i+1), domain: domains[i%len(domains)], binary: binary}
	n.settingsPath = env.path(n.name + ".json")
	n.logPath = env.path(n.name + ".log")
	addr := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(env.nodeIP(i), port) }
	n.directAddr, n.operatorAddr, n.statusAddr = addr(callerPort), addr(operatorPort), addr(statusPort)
	var err error
	n.callerLink = link.New(n.directAddr)
	if n.callerAddr, err = n.callerLink.Listen(ctx, loopback); err != nil {
		return nil, err
	}
	n.storeLink = link.New(env.storeAddr)
	storeAddr, err := n.storeLink.Listen(ctx, loopback)
	if err != nil {
		return nil, err
	}
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: n.name, Region: region, FailureDomain: n.domain, Peers: env.peers(i)}
	cfg.Listen = settings.Listen{Callers: n.directAddr, Nodes: addr(nodePort), Operators: n.operatorAddr, Status: n.statusAddr}
	cfg.Advertise = settings.Advertise{Callers: n.callerAddr, Nodes: addr(nodePort)}
	cfg.Platform.Addrs = []netip.AddrPort{storeAddr}
	cfg.Timing.ResumeGrace = settings.Duration{Duration: resumeGrace}
	cfg.Timing.StallTimeout = settings.Duration{Duration: stallTimeout}
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settingsPath, data, 0o600)
}

// start starts the node's next process, whose output is appended to the node's log.
func (n *nodeProcess) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return fmt.Errorf("node %s is already running", n.name)
	}
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own descriptor
	cmd := exec.Command(n.binary, "serve", "--settings", n.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node %s: %w", n.name, err)
	}
	n.cmd = cmd
	n.exited = make(chan struct{})
	go n.await(cmd, n.exited)
	return nil
}

// await waits for the end of a process and records its exit code and processor time.
func (n *nodeProcess) await(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // ProcessState holds the exit code
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastExitCode = cmd.ProcessState.ExitCode()
	n.lastCPUTime = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	n.cmd = nil
	close(exited)
}

// signal sends a signal to the process, if it is running, and returns the channel that is closed when it exits.
func (n *nodeProcess) signal(sig syscall.Signal) (exited <-chan struct{}, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil, false
	}
	_ = n.cmd.Process.Signal(sig) // fails only if the process has just exited
	return n.exited, true
}

// kill sends SIGKILL to the process and waits until it has exited.
func (n *nodeProcess) kill() {
	if exited, ok := n.signal(syscall.SIGKILL); ok {
		<-exited
	}
}

// drain sends SIGTERM to the process and waits. It returns false if the process has not exited after wait.
func (n *nodeProcess) drain(wait time.Duration) bool {
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

// exitCode returns the exit code of the last process that exited.
func (n *nodeProcess) exitCode() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastExitCode
}

// ready waits until the node reports that it is ready. It fails if the process exits.
func (n *nodeProcess) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if n.isReady(ctx) {
			return nil
		}
		n.mu.Lock()
		stopped := n.cmd == nil
		n.mu.Unlock()
		if stopped {
			return fmt.Errorf("node %s exited with code %d; see %s", n.name, n.exitCode(), n.logPath)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %s is not ready; see %s: %w", n.name, n.logPath, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

func (n *nodeProcess) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.statusAddr.String()+"/readyz", nil)
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
func startAll(ctx context.Context, nodes []*nodeProcess) error {
	var errs []error
	for _, n := range nodes {
		errs = append(errs, n.start())
	}
	for _, n := range nodes {
		errs = append(errs, n.ready(ctx))
	}
	return errors.Join(errs...)
}
