package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// deployment is a small deployment: a store and nodes of ebonyferry as separate processes. Each node has a loopback address
// of its own, since the template of the settings fixes one port.
type deployment struct {
	rec   *record
	store *store
	dir   string // for settings and logs of the nodes
	nodes []*nodeProc
}

// nodeProc is one node.
type nodeProc struct {
	name, ip, zone string
	command        []string
	cmd            *exec.Cmd
	ended          chan struct{} // closed when the process has ended
}

// Ports of a node on its address.
const (
	portFront     = 8740
	portDirectory = 8746
	portControl   = 8748
	portReady     = 8749
	portMetrics   = 9464
)

const (
	settingsArgument = "/etc/ebonyferry/settings.toml"
	readyTimeout     = 15 * time.Second
	stopTimeout      = 3 * time.Second
)

var zones = []string{"neng-a", "neng-b", "neng-c"}

// bounds are those of a small installation.
var bounds = map[string]any{
	"retry_budget_ratio": 0.2, "budget_slack": 54, "budget_window_s": 10, "cold_over": coldOver, "cold_slack": coldSlack,
	"stable_window_ms": 3000, "grace_s": 8,
}

const (
	coldOver  = 1.5
	coldSlack = 5
)

func newDeployment(rec *record, dir string, count int) (*deployment, error) {
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, store: st, dir: dir}
	net := freeNet()
	for i := range count {
		zone := zones[i%len(zones)]
		d.nodes = append(d.nodes, &nodeProc{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: fmt.Sprintf("%s.%d", net, 10+i), zone: zone})
	}
	for _, n := range d.nodes {
		if err := d.writeSettings(n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freeNet returns the first three numbers of loopback addresses on which the ports of nodes are free.
func freeNet() string {
	for {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", prefix, portFront))
		if err == nil {
			ln.Close()
			return prefix
		}
	}
}

func (n *nodeProc) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

var (
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
)

// writeSettings fills in the template of the settings and reads the command of the deploy file.
func (d *deployment) writeSettings(n *nodeProc) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return errors.New("deploy/system.toml has no command")
	}
	var seeds []string
	for _, other := range d.nodes[:min(3, len(d.nodes))] {
		seeds = append(seeds, other.addr(portControl))
	}
	fields := map[string]any{
		"node": n.name, "region": "neng", "zone": n.zone, "ip": n.ip, "seeds": seeds,
		"limits":   map[string]any{"cpu_share": 0.4},
		"listen":   map[string]any{"front": n.addr(portFront), "control": n.addr(portControl), "directory": n.addr(portDirectory), "ready": n.addr(portReady)},
		"provider": map[string]any{"address": d.store.addr},
		"bounds":   bounds,
	}
	settings := placeholder.ReplaceAllFunc(template, func(found []byte) []byte {
		m := placeholder.FindSubmatch(found)
		value := any(fields)
		for name := range strings.SplitSeq(string(m[1]), ".") {
			value = value.(map[string]any)[name]
		}
		if len(m[2]) == 0 {
			return fmt.Append(nil, value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return data
	})
	path := filepath.Join(d.dir, n.name+".json")
	n.command = strings.Fields(strings.ReplaceAll(string(run[1]), settingsArgument, path))
	return os.WriteFile(path, settings, 0o644)
}

// start starts a node's process.
func (d *deployment) start(n *nodeProc) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(n.command[0], n.command[1:]...)
	n.cmd.Env = append(os.Environ(), "GOGC=50")
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(n.cmd, n.ended)
	d.rec.logf("node %s starts as process %d", n.name, n.cmd.Process.Pid)
	return nil
}

// startAll starts all nodes and waits until they are ready.
func (d *deployment) startAll() error {
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if !d.waitReady(n) {
			return fmt.Errorf("node %s is not ready after %v", n.name, readyTimeout)
		}
	}
	d.rec.logf("all nodes are ready")
	return nil
}

func (d *deployment) waitReady(n *nodeProc) bool {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + n.addr(portReady) + "/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop ends all nodes.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			select {
			case <-n.ended:
			case <-time.After(stopTimeout):
			}
		}
	}
}

// front returns the address of one of the nodes that the directory names.
func (d *deployment) front() (string, error) {
	client := &http.Client{Timeout: time.Second}
	for _, at := range rand.Perm(len(d.nodes)) {
		resp, err := client.Get("http://" + d.nodes[at].addr(portDirectory) + "/resolve?name=ropes.example&region=neng&zone=neng-a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses[rand.IntN(len(answer.Addresses))], nil
		}
	}
	return "", errors.New("no directory answers")
}
