package ctl

import (
	"net/http"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

// Guards against repeating a write whose response was lost: a second write could revert
// what another operator stored in between. The result has to be found by reading back.
func TestLostResponseIsReadBack(t *testing.T) {
	other := adminapi.Apply{Operation: "other"}
	tests := []struct {
		name    string
		onWrite func(f *fakeDaemon) func(http.ResponseWriter, adminapi.Apply)
		code    int
		texts   []string
	}{
		{"stored, connection broken", func(f *fakeDaemon) func(http.ResponseWriter, adminapi.Apply) {
			return func(w http.ResponseWriter, a adminapi.Apply) { f.store(a); abortConnection(w) }
		}, ExitOK, []string{"stored as revision 8", "in force on every member"}},
		{"stored, store's answer lost", func(f *fakeDaemon) func(http.ResponseWriter, adminapi.Apply) {
			return func(w http.ResponseWriter, a adminapi.Apply) { f.store(a); gatewayTimeout(w) }
		}, ExitOK, []string{"stored as revision 8"}},
		{"stored a moment later", func(f *fakeDaemon) func(http.ResponseWriter, adminapi.Apply) {
			return func(w http.ResponseWriter, a adminapi.Apply) {
				seen := f.reads
				f.onRead = func() {
					if f.reads == seen+2 {
						f.store(a)
					}
				}
				gatewayTimeout(w)
			}
		}, ExitOK, []string{"stored as revision 8"}},
		{"never stored", func(*fakeDaemon) func(http.ResponseWriter, adminapi.Apply) {
			return func(w http.ResponseWriter, _ adminapi.Apply) { gatewayTimeout(w) }
		}, ExitUnknown, []string{"--operation mine --based-on 7"}},
		{"another operator was first", func(f *fakeDaemon) func(http.ResponseWriter, adminapi.Apply) {
			return func(w http.ResponseWriter, _ adminapi.Apply) { f.store(other); abortConnection(w) }
		}, ExitConflict, []string{"revision 8 is current", "--based-on 8"}},
		{"replaced since, perhaps", func(f *fakeDaemon) func(http.ResponseWriter, adminapi.Apply) {
			return func(w http.ResponseWriter, a adminapi.Apply) { f.store(a); f.store(other); abortConnection(w) }
		}, ExitUnknown, []string{"revision 9 of another operation"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFakeDaemon(t)
			f.onWrite = test.onWrite(f)
			file := manifestFile(t, testManifest("127.0.0.1:9001", "127.0.0.1:9002"))
			got := runCommand("--admin", f.admin(), "apply", file, "--based-on", "7", "--operation", "mine", "--wait", "1s")
			got.want(t, test.code, test.texts...)
			if f.writes != 1 {
				t.Errorf("the change was sent %d times", f.writes)
			}
		})
	}
}

// Guards against reporting a revision as in force while a member does not have it.
func TestLaggingMemberIsListed(t *testing.T) {
	f := newFakeDaemon(t)
	f.inForce = 7
	f.onWrite = func(w http.ResponseWriter, a adminapi.Apply) { f.store(a); gatewayTimeout(w) }
	file := manifestFile(t, testManifest("127.0.0.1:9002"))
	runCommand("--admin", f.admin(), "apply", file, "--based-on", "current", "--wait", "500ms").
		want(t, ExitNotInForce, "loom-1", "do not apply again")
}

// Guards against reporting a store outage as an unknown result, although nothing was
// stored.
func TestStoreOutageIsDefinite(t *testing.T) {
	f := newFakeDaemon(t)
	f.onWrite = func(w http.ResponseWriter, _ adminapi.Apply) { w.WriteHeader(http.StatusBadGateway) }
	file := manifestFile(t, testManifest("127.0.0.1:9002"))
	runCommand("--admin", f.admin(), "apply", file, "--based-on", "7").want(t, ExitFailed, "nothing was stored")
}

// Guards against reporting only the first finding: an operator would then have to correct
// and validate the manifest once per finding.
func TestValidatePrintsAllFindings(t *testing.T) {
	m := testManifest("127.0.0.1:9001", "127.0.0.1:9001")
	m.Name = "Not A Name"
	m.Services[0].Classes[0].Objective.Ratio = 2
	m.Services[0].Targets[0].Slots = 0
	file := manifestFile(t, m)
	texts := []string{"name", "ratio", "slots", "address"}
	runCommand("validate", file).want(t, ExitFindings, texts...)
	runCommand("validate", file, "--json").want(t, ExitFindings, `"valid": false`)
	runCommand("--admin", "127.0.0.1:1", "apply", file, "--based-on", "0").want(t, ExitFindings, texts...)
	runCommand("validate", file+".missing").want(t, ExitFailed)
}

// Guards against a wrong exit code for usage errors, which scripts rely on.
func TestWrongUsage(t *testing.T) {
	file := manifestFile(t, testManifest("127.0.0.1:9001"))
	for _, args := range [][]string{
		{"frob"}, {"validate"}, {"apply", file}, {"apply", file, "--based-on", "x"}, {"targets", "--frob"},
		{"owner", "display"}, {"move", "display", "x", "a"}, {"certs", "--dir", t.TempDir(), "../a"},
		{"load", file, "--callers", "192.0.2.1:80"}, {"load", file, "--class", "display/none=1"},
	} {
		runCommand(args...).want(t, ExitUsage)
	}
	runCommand("--admin", "127.0.0.1:1", "instances").want(t, ExitFailed, "no daemon answered")
}
