package storesrv_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/jackdawloom/jackdawloom/internal/standin/storesrv"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Guards against goroutines of watches and endpoints that outlive the server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, control string) *storesrv.Listener {
	t.Helper()
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	t.Cleanup(shared.Close)
	srv, err := storesrv.Listen(shared, storesrv.Addresses{Store: "127.0.0.1:0", Control: control})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { srv.Close(); http.DefaultClient.CloseIdleConnections() })
	return srv
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

// checkSameJSON compares JSON texts. It ignores the identity of cluster and member in
// headers, which has no meaning.
func checkSameJSON(t *testing.T, what, got, want string) {
	t.Helper()
	if !reflect.DeepEqual(parse(t, got), parse(t, want)) {
		t.Errorf("%s: %s, want %s", what, got, want)
	}
}

func parse(t *testing.T, text string) (v any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Errorf("%v in %q", err, text)
	}
	removeIdentity(v)
	return v
}

func removeIdentity(v any) {
	switch v := v.(type) {
	case map[string]any:
		delete(v, "cluster_id")
		delete(v, "member_id")
		delete(v, "raft_term")
		for _, e := range v {
			removeIdentity(e)
		}
	case []any:
		for _, e := range v {
			removeIdentity(e)
		}
	}
}

// Guards against a stand-in that works only with this project's client: the requests and
// responses are written by hand after the gateway's published examples, in both spellings of
// field names.
func TestGatewayPublishedExamples(t *testing.T) {
	srv := start(t, "")
	kv2 := `{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}`
	kv3 := `{"key":"Zm9v","create_revision":"2","mod_revision":"3","version":"2","value":"YmFy"}`
	large := `"` + strings.Repeat("AAAA", topo.MaxValueBytes/3+1) + `"`
	steps := []struct {
		path, request string
		status        int
		reply         string
	}{
		{"/v3/kv/put", `{"key":"Zm9v","value":"YmFy"}`, 200, `{"header":{"revision":"2"}}`},
		{"/v3/kv/range", `{"key":"Zm9v"}`, 200, `{"header":{"revision":"2"},"kvs":[` + kv2 + `],"count":"1"}`},
		{"/v3/kv/range", `{"key":"Zm9u","rangeEnd":"Zm9w","limit":1}`, 200, `{"header":{"revision":"2"},"kvs":[` + kv2 + `],"count":"1"}`},
		{"/v3/kv/range", `{"key":"AA==","range_end":"AA==","revision":"1"}`, 200, `{"header":{"revision":"2"}}`},
		{"/v3/kv/txn", `{"compare":[{"target":"CREATE","key":"Zm9v","createRevision":"2"}],"success":[{"requestPut":{"key":"Zm9v","value":"YmFy","prevKv":true}}]}`, 200,
			`{"header":{"revision":"3"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"},"prev_kv":` + kv2 + `}}]}`},
		{"/v3/kv/txn", `{"compare":[{"version":"2","result":"GREATER","target":"VERSION","key":"Zm9v"}],"success":[{"request_put":{"key":"Zm9v"}}],"failure":[{"requestRange":{"key":"Zm9v"}}]}`, 200,
			`{"header":{"revision":"3"},"responses":[{"response_range":{"header":{"revision":"3"},"kvs":[` + kv3 + `],"count":"1"}}]}`},
		{"/v3/lease/grant", `{"TTL":10,"ID":"7587848943239472601"}`, 200, `{"header":{"revision":"3"},"ID":"7587848943239472601","TTL":"10"}`},
		{"/v3/lease/keepalive", `{"ID":"7587848943239472601"}`, 200, `{"result":{"header":{"revision":"3"},"ID":"7587848943239472601","TTL":"10"}}`},
		{"/v3/kv/put", `{"key":"YQ==","lease":"7587848943239472601"}`, 200, `{"header":{"revision":"4"}}`},
		{"/v3/lease/revoke", `{"ID":"7587848943239472601"}`, 200, `{"header":{"revision":"5"}}`},
		{"/v3/lease/keepalive", `{"ID":"7587848943239472601"}`, 200, `{"result":{"header":{"revision":"5"},"ID":"7587848943239472601"}}`},
		{"/v3/lease/revoke", `{"ID":"1"}`, 404, `{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`},
		{"/v3/kv/put", `{"key":"YQ==","value":` + large + `}`, 400, `{"error":"etcdserver: request is too large","code":3,"message":"etcdserver: request is too large"}`},
		{"/v3/kv/range", `{"key":"Zm9v","revision":"9"}`, 400, `{"error":"etcdserver: mvcc: required revision is a future revision","code":11,"message":"etcdserver: mvcc: required revision is a future revision"}`},
		{"/v3/kv/deleterange", `{"key":"Zm9v","prev_kv":true}`, 200, `{"header":{"revision":"6"},"deleted":"1","prev_kvs":[` + kv3 + `]}`},
		{"/v3/kv/deleterange", `{"key":"Zm9v"}`, 200, `{"header":{"revision":"6"}}`},
	}
	for _, s := range steps {
		status, reply := call(t, http.MethodPost, "http://"+srv.Addr()+s.path, s.request)
		what := s.path + " " + s.request[:min(len(s.request), 100)]
		if status != s.status {
			t.Errorf("%s: status %d, want %d", what, status, s.status)
		}
		checkSameJSON(t, what, reply, s.reply)
	}
	if status, _ := call(t, http.MethodPost, "http://"+srv.Addr()+"/v3/kv/range", `{"key":"YQ==","keys_only":true}`); status != 400 {
		t.Errorf("field that the stand-in does not support: status %d", status)
	}
	checkWatchPublishedExamples(t, srv)
}

func checkWatchPublishedExamples(t *testing.T, srv *storesrv.Listener) {
	watch := func(request string, want ...string) {
		res, err := http.Post("http://"+srv.Addr()+"/v3/watch", "application/json", strings.NewReader(request))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		lines := bufio.NewScanner(res.Body)
		for _, text := range want {
			if !lines.Scan() {
				t.Fatalf("watch ended, want %s", text)
			}
			checkSameJSON(t, request, lines.Text(), text)
		}
	}
	created := `{"result":{"header":{"revision":"6"},"created":true}}`
	watch(`{"create_request":{"key":"YQ==","start_revision":"4","prev_kv":true}}`, created,
		`{"result":{"header":{"revision":"6"},"events":[`+
			`{"kv":{"key":"YQ==","create_revision":"4","mod_revision":"4","version":"1","lease":"7587848943239472601"}},`+
			`{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"5"},`+
			`"prev_kv":{"key":"YQ==","create_revision":"4","mod_revision":"4","version":"1","lease":"7587848943239472601"}}]}}`)
	srv.Shared().Do(func(s *memstore.State) {
		if err := s.Compact(5); err != nil {
			t.Error(err)
		}
	})
	watch(`{"createRequest":{"key":"YQ==","startRevision":"4"}}`, created,
		`{"result":{"header":{"revision":"6"},"canceled":true,"compact_revision":"5",`+
			`"cancel_reason":"etcdserver: mvcc: required revision has been compacted"}}`)
}

// Guards against a control API that cannot be reached while a fault is active, and against
// misspelled faults that are accepted without effect.
func TestControl(t *testing.T) {
	srv := start(t, "127.0.0.1:0")
	control := "http://" + srv.ControlAddr()
	for _, bad := range []string{`{"downn":"reset"}`, `{"down":"maybe"}`, `{"rollback_to":99}`, `{"lose_write_answers":-2}`, `nonsense`} {
		if status, _ := call(t, http.MethodPut, control+"/faults", bad); status != http.StatusBadRequest {
			t.Errorf("faults %s: status %d", bad, status)
		}
	}
	for _, down := range []string{"refuse", "reset"} {
		if status, text := call(t, http.MethodPut, control+"/faults", `{"down":"`+down+`"}`); status != http.StatusOK {
			t.Fatalf("%s: status %d: %s", down, status, text)
		}
		if res, err := http.Post("http://"+srv.Addr()+"/v3/kv/range", "", bytes.NewReader(nil)); err == nil {
			_ = res.Body.Close()
			t.Errorf("%s: the store responded", down)
		}
	}
	call(t, http.MethodPut, control+"/faults", `{}`)
	_, text := call(t, http.MethodGet, control+"/counters", "")
	checkSameJSON(t, "counters", text, `{"calls":{"range":1},"total":1,"open_watches":0}`)

	withoutControl := start(t, "")
	if status, _ := call(t, http.MethodPut, "http://"+withoutControl.Addr()+"/faults", `{"down":"refuse"}`); status != http.StatusBadRequest {
		t.Errorf("DownRefuse without a control address: status %d", status)
	}
}
