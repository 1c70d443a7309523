package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine, as the sheet of the site has it.
const memoryMB = 134

// machine is a machine that runs one node of the project with the command of the deploy file.
type machine struct {
	name     string
	zone     string
	front    string
	ready    string
	entries  string
	control  string
	settings string
	log      string
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	result   error         // of the process; valid after ended
}

func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newMachines returns machines on loopback addresses, with the settings that the deploy file's template makes of a small deployment's.
func newMachines(dir string, n int, storeAddr string) ([]*machine, error) {
	var list []*machine
	var seeds []string
	for i := range n {
		// Cases that are played at the same time have addresses of their own, since a port that was found free may be taken before its node listens.
		pid := os.Getpid()
		ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, 11+i)
		m := &machine{name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("z%d", i%4+1)}
		for _, addr := range []*string{&m.front, &m.ready, &m.entries, &m.control} {
			var err error
			if *addr, err = freePort(ip); err != nil {
				return nil, err
			}
		}
		seeds = append(seeds, m.control)
		list = append(list, m)
	}
	for _, m := range list {
		host, _, err := net.SplitHostPort(m.front)
		if err != nil {
			return nil, err
		}
		status, err := freePort(host)
		if err != nil {
			return nil, err
		}
		m.settings = filepath.Join(dir, m.name+".json")
		m.log = filepath.Join(dir, m.name+".log")
		data, err := json.Marshal(map[string]any{
			"node":   map[string]any{"name": m.name, "region": "r1", "failureDomain": m.zone, "cpuCores": 0.4, "peers": seeds[:min(3, len(seeds))]},
			"listen": map[string]any{"callers": m.front, "nodes": m.control, "entries": m.entries, "ready": m.ready, "status": status},
			"platform": map[string]any{
				"addrs": []string{storeAddr}, "speaks": "adapter",
			},
			"tls":    map[string]any{"plainText": true},
			"limits": map[string]any{"memoryMB": memoryMB, "maxFiles": 4100},
			"bounds": map[string]any{
				"retryRatio": 0.2, "retrySlack": 54, "retryWindow": "10s", "coldOver": 1.5, "coldSlack": 5, "settleTime": "3000ms", "stopGrace": "8s",
			},
		})
		if err == nil {
			err = os.WriteFile(m.settings, data, 0o600)
		}
		if err != nil {
			return nil, err
		}
	}
	return list, nil
}

// start starts the node's process.
func (m *machine) start(first bool) error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(binary, "serve", "--settings", m.settings)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=50", "FERRY_FIRST_START=" + strconv.FormatBool(first),
		"FERRY_DUTIES=addr= held= callsPerSecond= leaseTtl=ms reportWindow=s reportDue=s reportTolerance=",
	}
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.ended = ended
	cmd := m.cmd
	go func() {
		m.result = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill() // fails only if the process has ended
	<-m.ended
}

var errNotReady = errors.New("a node is not ready")

// awaitReady waits until the platform's question for readiness is answered with 200.
func awaitReady(list []*machine, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range list {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errNotReady, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) isReady() bool {
	resp, err := plainClient.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}
