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
	"unsafe"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Figures of the deployment mpta-countdown.
const (
	graceS          = 6
	headerTimeoutMs = 3000
	idleTimeoutMs   = 15000
	contactMs       = 3000
	maxFDs          = 4100
)

// daemon is one process of the router.
type daemon struct {
	name, ip, zone, front, ready string
	settings, log                string
	cmd                          *exec.Cmd
	ended                        chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record  *record
	root    string // of the repository
	dir     string // temporary folder
	net     string // first three bytes of the loopback addresses
	store   *store
	storeAt string
	daemons []*daemon
	sharded bool // services are divided by key

	mu     sync.Mutex // guards the start of processes, and closed
	closed bool
}

func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{record: rec, root: root, dir: dir, net: fmt.Sprintf("127.%d.%d", 64+pid/250%128, 1+pid%250)}
	f.store, f.storeAt, err = startStore(f.ip(200))
	return f, err
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.net, n) }

// freePorts returns n ports that are free on the fleet's first address.
func (f *fleet) freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", f.ip(1)+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addDaemons writes the settings of n daemons in three zones.
func (f *fleet) addDaemons(n int) error {
	ports, err := f.freePorts(3)
	if err != nil {
		return err
	}
	zones := []string{"muscat-a", "muscat-b", "muscat-c"}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.ip(i+1), ports[2]))
	}
	for i := range n {
		ip := f.ip(i + 1)
		d := &daemon{
			name: fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), ip: ip, zone: zones[i%3],
			front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
			settings: filepath.Join(f.dir, fmt.Sprintf("settings-%d.json", i)), log: filepath.Join(f.dir, fmt.Sprintf("log-%d.txt", i)),
		}
		settings := map[string]any{
			"node-name": d.name, "role": "router", "machine-class": "edge", "serves": []string{"edge", "control"}, "ip": ip, "zone": d.zone, "region": "muscat",
			"zones":          map[string]string{"muscat-a": "muscat", "muscat-b": "muscat", "muscat-c": "muscat"},
			"listen":         map[string]string{"front": d.front, "ready": d.ready, "control": fmt.Sprintf("%s:%d", ip, ports[2])},
			"internal-ports": []int{7540, 7555}, "seeds": seeds, "bootstrap": true, "counts-as-loss": false,
			"limits":   map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": 284, "max-fds": maxFDs, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 870,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "own", "platform"},
			"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": contactMs, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": graceS, "loss-slack-ms": 200,
				"config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 58,
				"recovery-s": 15, "max-hold-ms": 10000, "thaw-ms": 300,
			},
			"grants": "direct",
			"platform": map[string]any{
				"address": f.storeAt, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000,
			},
		}
		b, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.settings, b, 0o600); err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	return nil
}

// runCommand returns the command of the deploy file that starts the router.
func (f *fleet) runCommand() ([]string, error) {
	b, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run command")
}

// startDaemon starts the process with the limit of descriptors that its machine has.
func (f *fleet) startDaemon(d *daemon) error {
	command, err := f.runCommand()
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errors.New("the case has ended")
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(f.root, command[0]), command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWLOOM_BOOT=" + d.settings}
	if err := cmd.Start(); err != nil {
		return err
	}
	limit := syscall.Rlimit{Cur: maxFDs, Max: maxFDs}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(cmd.Process.Pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		return errno
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	d.cmd, d.ended = cmd, ended
	f.record.line("process %s starts", d.name)
	return nil
}

// isReady asks as the platform does once a second.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the daemons and waits until all are ready.
func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.startDaemon(d); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range f.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(f.daemons) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d daemons became ready", ready, len(f.daemons))
		}
	}
}

func (d *daemon) signal(s syscall.Signal) {
	select {
	case <-d.ended:
	default:
		_ = d.cmd.Process.Signal(s)
	}
}

// close ends all processes that were started.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, d := range f.daemons {
		if d.cmd == nil {
			continue
		}
		d.signal(syscall.SIGKILL)
		<-d.ended
	}
	_ = os.RemoveAll(f.dir)
}

// routeSpec is a route of the configuration.
type routeSpec struct {
	host, prefix, kind, service string
	timeoutMs, latencyMs        int
}

// configure writes the operator's configuration.
func (f *fleet) configure(routes []routeSpec) error {
	var rows, services [][]any
	seen := make(map[string]bool)
	for i, r := range routes {
		rows = append(rows, []any{fmt.Sprintf("r-%d", i), r.host, r.prefix, r.kind, r.timeoutMs, r.latencyMs, 1, nil, 2, r.service})
		if !seen[r.service] {
			seen[r.service] = true
			service := []any{r.service, "/health", 110, "h1", false, nil, nil, nil}
			if f.sharded {
				service = []any{r.service, "/health", 110, "h1", false, true, 5.0, "direct"}
			}
			services = append(services, service)
		}
	}
	config := map[string]any{
		"version":  "r7",
		"routes":   map[string]any{"columns": []string{"name", "hostname", "prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "backends", "max-attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-connections", "protocol", "tls", "sharded", "warmup-s", "grants"}, "rows": services},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": headerTimeoutMs, "idle-timeout-ms": idleTimeoutMs},
	}
	b, err := json.Marshal(config)
	if err == nil {
		f.store.write("op/config", b)
	}
	return err
}

// addEndpoints starts n endpoints of a service and registers them.
func (f *fleet) addEndpoints(service string, n int, work time.Duration) error {
	zones := []string{"muscat-a", "muscat-b", "muscat-c"}
	for i := range n {
		e, err := startEndpoint(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%3], f.ip(201+i), work, f.record)
		if err != nil {
			return err
		}
		f.store.write("servers/"+e.id, e.entry())
	}
	return nil
}

// runs counts how often endpoints began to work on a request.
func (f *fleet) runs(id string) int {
	b, err := os.ReadFile(f.record.file.Name())
	if err != nil {
		return 0
	}
	return strings.Count(string(b), "run     "+id+" begins")
}
