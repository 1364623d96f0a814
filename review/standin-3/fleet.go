package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// daemon is one process of the system under test.
type daemon struct {
	name, ip, front, ready, settings string
	log                              *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool // the trial has ended
}

// fleet is the daemons of one trial.
type fleet struct {
	daemons []*daemon
	dir     string
	binary  string
	rec     *record
}

// freePorts returns ports that are free on all the addresses, for TCP and UDP.
func freePorts(ips []string, n int) ([]int, error) {
	var out []int
	for len(out) < n {
		l, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			t, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
			_ = t.Close()
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			out = append(out, port)
		}
	}
	return out, nil
}

func newFleet(n int, binary, storeAddress string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, binary: binary, rec: rec}
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", i+1))
	}
	ports, err := freePorts(ips, 4)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	zones := make(map[string]string)
	for _, z := range zoneNames {
		zones[z] = "region"
	}
	for i, ip := range ips {
		d := &daemon{name: fmt.Sprintf("edge-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		settings := map[string]any{
			"node-name": d.name, "role": "router", "machine-class": "edge", "serves": []string{"edge", "control"}, "ip": ip,
			"zone": zoneNames[i%len(zoneNames)], "region": "region", "zones": zones,
			"listen":         map[string]any{"front": d.front, "ready": d.ready, "control": fmt.Sprintf("%s:%d", ip, ports[2])},
			"internal-ports": []int{ports[3], ports[3]}, "seeds": seeds, "bootstrap": true, "counts-as-loss": false,
			"limits":   map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "own", "platform"},
			"fault-tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
				"grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000, "retry-budget-ratio": 0.2,
				"budget-window-s": 10, "retry-budget-slack": 56, "recovery-s": 15, "max-hold-ms": 10000, "thaw-ms": 300},
			"grants": "direct",
			"platform": map[string]any{"address": storeAddress, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
				"value-bytes": 1 << 20, "min-ttl-ms": 1000},
		}
		b, _ := json.Marshal(settings)
		d.settings = filepath.Join(dir, d.name+".json")
		if err := os.WriteFile(d.settings, b, 0o600); err != nil {
			return nil, err
		}
		if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, d)
	}
	return f, nil
}

var errEnded = errors.New("the trial has ended")

// start starts a daemon with the command of the deploy file.
func (f *fleet) start(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errEnded
	}
	d.cmd = exec.Command(f.binary, "edge", "--hedge-share", "0.05")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWLOOM_BOOT=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	f.rec.log("start %s", d.name)
	return d.cmd.Start()
}

func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.start(d); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a daemon that runs.
func (f *fleet) signal(d *daemon, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(s)
		f.rec.log("signal %s to %s", s, d.name)
	}
}

// kill kills a daemon and waits for its end.
func (f *fleet) kill(d *daemon) {
	f.signal(d, syscall.SIGKILL)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Wait()
		d.cmd = nil
	}
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.mu.Lock()
		d.closed = true
		d.mu.Unlock()
		f.kill(d)
		_ = d.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// isReady asks a daemon whether it is ready.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		n := 0
		for _, d := range f.daemons {
			if d.isReady() {
				n++
			}
		}
		if n == len(f.daemons) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
