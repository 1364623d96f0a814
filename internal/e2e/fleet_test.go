package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/standin/ports"
	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

var binDir string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jackdawloom-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/jackdawloomd", "../../cmd/jackdawstandin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one child process of a test.
type process struct {
	name    string
	cmd     *exec.Cmd
	logFile string
}

func startProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	log := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(binDir, args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	p := &process{name: name, cmd: cmd, logFile: log}
	t.Cleanup(func() { p.cleanUp(t) })
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// kill sends SIGKILL to the process and waits for it to end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// stop sends SIGTERM to the process, waits for it to end and returns its exit error.
func (p *process) stop(t *testing.T) error {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	return p.cmd.Wait()
}

func (p *process) cleanUp(t *testing.T) {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	if t.Failed() {
		t.Logf("log of %s:\n%s", p.name, lastLines(p.logFile, 60))
	}
}

func lastLines(file string, lines int) string {
	b, _ := os.ReadFile(file)
	all := strings.Split(strings.TrimRight(string(b), "\n"), "\n")
	return strings.Join(all[max(len(all)-lines, 0):], "\n")
}

// fleet is a store, targets and daemons that run as separate processes.
type fleet struct {
	t             *testing.T
	dir           string
	store         *process
	storeURL      string
	controlURL    string
	manifest      manifest.Manifest
	targetConfigs []manifest.Target
	targets       []*process
	recordFiles   []string
	daemons       []*daemonProcess
}

type daemonProcess struct {
	*process
	id            string
	settingsFile  string
	callerAddress string
	adminAddress  string
}

// reserveAddresses returns n loopback addresses that nothing else uses.
func reserveAddresses(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := ports.Reserve(n)
	if err != nil {
		t.Fatal(err)
	}
	out := make([]string, n)
	for i, a := range addresses {
		out[i] = a.String()
	}
	return out
}

// newFleet starts a fleet with one service that has the given number of targets.
func newFleet(t *testing.T, targets, daemons int) *fleet {
	t.Helper()
	return newFleetOf(t, testManifest(targets), daemons)
}

// newFleetOf starts a store, the manifest's targets on free ports and the given number of
// daemons, and waits until each daemon is ready.
func newFleetOf(t *testing.T, m manifest.Manifest, daemons int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), manifest: m}
	storePorts := reserveAddresses(t, 2)
	f.storeURL, f.controlURL = "http://"+storePorts[0], "http://"+storePorts[1]
	f.store = startProcess(t, f.dir, "store", "jackdawstandin", "store", "--listen", storePorts[0], "--control", storePorts[1])
	f.startTargets()
	f.writeSettings(daemons)
	for i := range f.daemons {
		f.startDaemon(i)
	}
	f.awaitStore()
	f.applyManifest(0, "first")
	for _, d := range f.daemons {
		f.awaitReady(d)
	}
	return f
}

func testManifest(targets int) manifest.Manifest {
	service := manifest.Service{
		Name: "display", PathPrefix: "/display", Shards: 64,
		Key: manifest.KeySource{From: manifest.KeyFromPath},
		Classes: []manifest.Class{
			{Name: "read", Methods: []string{"GET"}, Repeat: manifest.RepeatIdempotent, DeadlineMs: 5000, Objective: manifest.Objective{LatencyMs: 100, Ratio: 0.99}},
			{Name: "book", Methods: []string{"POST"}, Repeat: manifest.RepeatNever, DeadlineMs: 5000, Objective: manifest.Objective{LatencyMs: 200, Ratio: 0.99}},
		},
	}
	for i := range targets {
		service.Targets = append(service.Targets, manifest.Target{
			Name: fmt.Sprintf("display-%02d", i+1), Domain: string(rune('a' + i%3)), Slots: 6, Connections: 60, ChecksGrants: true,
		})
	}
	return manifest.Manifest{Schema: manifest.Schema, Name: "e2e", Services: []manifest.Service{service}}
}

// startTargets starts a process for every target of the manifest, in the order of the
// services.
func (f *fleet) startTargets() {
	for i := range f.manifest.Services {
		s := &f.manifest.Services[i]
		for j, address := range reserveAddresses(f.t, len(s.Targets)) {
			target := &s.Targets[j]
			target.Address = address
			f.targetConfigs = append(f.targetConfigs, *target)
			f.recordFiles = append(f.recordFiles, filepath.Join(f.dir, target.Name+".runs"))
			f.targets = append(f.targets, nil)
			f.startTarget(len(f.targets) - 1)
		}
	}
}

func (f *fleet) startTarget(i int) {
	target := f.targetConfigs[i]
	args := []string{"jackdawstandin", "target", "--listen", target.Address, "--name", target.Name,
		"--slots", strconv.Itoa(target.Slots), "--service-time", "1ms", "--record", f.recordFiles[i]}
	if target.ChecksGrants {
		args = append(args, "--checks-grants")
	}
	f.targets[i] = startProcess(f.t, f.dir, target.Name, args...)
}

func (f *fleet) writeSettings(n int) {
	authority, err := pki.NewAuthority()
	if err != nil {
		f.t.Fatal(err)
	}
	peers := reserveAddresses(f.t, n)
	tcp := reserveAddresses(f.t, 2*n)
	for i := range n {
		id := fmt.Sprintf("loom-%d", i+1)
		if err := authority.WriteFiles(f.dir, id); err != nil {
			f.t.Fatal(err)
		}
		d := &daemonProcess{id: id, settingsFile: filepath.Join(f.dir, id+".ini"), callerAddress: tcp[2*i], adminAddress: tcp[2*i+1]}
		text := fmt.Sprintf(`[daemon]
id = %s
domain = %c
drain_timeout = 20s
[listen]
caller = %s
peer = %s
admin = %s
[tls]
ca = ca.pem
certificate = %s.pem
key = %s.key
[peers]
seeds = %s
[store]
urls = %s
`, id, 'a'+i%3, d.callerAddress, peers[i], d.adminAddress, id, id, strings.Join(peers, ", "), f.storeURL)
		if err := os.WriteFile(d.settingsFile, []byte(text), 0o600); err != nil {
			f.t.Fatal(err)
		}
		f.daemons = append(f.daemons, d)
	}
}

func (f *fleet) startDaemon(i int) {
	d := f.daemons[i]
	d.process = startProcess(f.t, f.dir, d.id, "jackdawloomd", "run", "--settings", d.settingsFile)
}

// awaitStore waits until the first daemon can read the configuration from the store.
func (f *fleet) awaitStore() {
	f.await("store", 10*time.Second, func() bool {
		resp, err := http.Get("http://" + f.daemons[0].adminAddress + adminapi.PathConfig)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// await polls until ok returns true, and fails the test if that takes longer than limit.
// It is for conditions that depend on other processes.
func (f *fleet) await(what string, limit time.Duration, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s not seen within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) applyManifest(basedOn uint64, operation string) int {
	f.t.Helper()
	m, err := json.Marshal(f.manifest)
	if err != nil {
		f.t.Fatal(err)
	}
	body, err := json.Marshal(adminapi.Apply{BasedOn: basedOn, Operation: operation, Manifest: m})
	if err != nil {
		f.t.Fatal(err)
	}
	status, reply := f.doRequest(http.MethodPut, "http://"+f.daemons[0].adminAddress+adminapi.PathConfig, body)
	if status != http.StatusOK {
		f.t.Logf("apply: %d %s", status, reply)
	}
	return status
}

func (f *fleet) doRequest(method, url string, body []byte) (int, []byte) {
	f.t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatalf("%s %s: %v", method, url, err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, b
}

// awaitReady waits until the daemon has a configuration and serves requests.
func (f *fleet) awaitReady(d *daemonProcess) {
	f.t.Helper()
	f.await(d.id+" serving", 15*time.Second, func() bool {
		state, ok := f.state(d)
		if !ok || state.ConfigRevision == 0 {
			return false
		}
		resp, err := http.Get("http://" + d.callerAddress + f.manifest.Services[0].PathPrefix + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) state(d *daemonProcess) (adminapi.State, bool) {
	resp, err := http.Get("http://" + d.adminAddress + adminapi.PathState)
	if err != nil {
		return adminapi.State{}, false
	}
	defer resp.Body.Close()
	var s adminapi.State
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

func (f *fleet) setStoreFaults(faults memstore.Faults) {
	f.t.Helper()
	b, err := json.Marshal(faults)
	if err != nil {
		f.t.Fatal(err)
	}
	if status, reply := f.doRequest(http.MethodPut, f.controlURL+"/faults", b); status >= 300 {
		f.t.Fatalf("set store faults: %d %s", status, reply)
	}
}

// runs returns how often each tagged request ran, according to the targets' record files.
func (f *fleet) runs() map[string]int {
	f.t.Helper()
	counts := make(map[string]int)
	for _, name := range f.recordFiles {
		file, err := os.Open(name)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			f.t.Fatal(err)
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var r targetsrv.Run
			if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
				f.t.Fatalf("%s: %v", name, err)
			}
			counts[r.Tag]++
		}
		_ = file.Close()
	}
	return counts
}

// getJSON decodes the response of an administrative endpoint. It retries for up to 10 s,
// as the daemon may not be reachable yet.
func (f *fleet) getJSON(admin, path string, into any) {
	f.t.Helper()
	f.await(path, 10*time.Second, func() bool {
		resp, err := http.Get("http://" + admin + path)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
	})
}
