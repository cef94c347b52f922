package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/controlplane"
	"example.org/micaline/internal/mesh/exporter"
	"example.org/micaline/internal/mesh/meshclient"
	"example.org/micaline/internal/mesh/sidecar"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

const change = `{"add":{"items":[
 {"item_kind":"routes","metadata":{"name":"r","version":"00000007"},"body":{"domain":"a.example","path_start":"/","kind":"safe","give_up":"5000ms","target_time":"800ms","rank":2,"service":"s","tries":2}},
 {"item_kind":"services","metadata":{"name":"s","version":"00000007"},"body":{"health_path":"/health","max_conns":120,"warmup":"3s","warmup_per_s":5}}]}}`

// call runs the program, and returns what it printed.
func call(t *testing.T, code int, args ...string) string {
	var out, errs bytes.Buffer
	require.Equal(t, code, run(args, &out, &errs), "%v: %s%s", args, &out, &errs)
	return out.String() + errs.String()
}

func file(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExitCodes(t *testing.T) {
	var asked []string
	core := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.URL.Path)
		if strings.HasSuffix(r.URL.Path, "/nowhere") {
			w.WriteHeader(http.StatusNotFound)
			fmt.Fprint(w, `{"error":"zone: nowhere is none of the settings' zones"}`)
		}
	}))
	defer core.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, "busy")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	at := func(servers ...*httptest.Server) string {
		var list []string
		for _, s := range servers {
			list = append(list, s.Listener.Addr().String())
		}
		return "--core=" + strings.Join(list, ",")
	}

	call(t, done, "evacuate", "z", at(dead, busy, core))
	require.Equal(t, []string{"busy", "POST /api/drain-zone/z"}, asked, "each is tried in turn until one answers")
	require.Contains(t, call(t, refused, "return", "nowhere", at(core)), "zone: nowhere")
	call(t, wrongUse, "evacuate", "z")
	call(t, wrongUse, "evacuate", "z", "--core=noport")
	call(t, wrongUse, "config", at(core))
	call(t, wrongUse, "config", "put", "/does/not/exist", at(core))
	require.Contains(t, call(t, outOfReach, "evacuate", "z", at(dead), "--timeout=50ms"), "out of reach")
	require.Contains(t, call(t, outOfReach, "evacuate", "z", at(busy, dead), "--timeout=50ms"), "may hold or not")
	call(t, outOfReach, "status", at(dead), "--timeout=50ms")

	asked = nil
	bad := strings.Replace(change, `"safe"`, `"sound"`, 1)
	require.Contains(t, call(t, refused, "config", "put", file(t, bad), at(core)), "routes r kind")
	require.Empty(t, asked, "what is wrong by itself goes nowhere")
	call(t, done, "config", "put", file(t, change), at(core))
	require.Contains(t, call(t, done, "check", file(t, change)), "1 routes, 1 services")
	require.Contains(t, call(t, refused, "check", file(t, "node_name=x\nfirst_start=perhaps\n")), "first_start")
}

// From the folder of a core machine that is stopped to a new mesh, which holds the same.
func TestRestore(t *testing.T) {
	l := &log.Logger{Handler: discard.New()}
	core := func(folder, settings string, then func(at string)) {
		set, err := bootstrap.Load(settings)
		require.NoError(t, err)
		set.DataFolder = folder
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- controlplane.New(set, l).Run(ctx) }()
		then("--core=" + set.Control)
		cancel()
		require.NoError(t, <-ended)
	}
	free, err := net.Listen("tcp4", "127.0.0.7:0") // where no other test listens
	require.NoError(t, err)
	inner, err := net.Listen("tcp4", "127.0.0.7:0")
	require.NoError(t, err)
	control, link := free.Addr().String(), inner.Addr().(*net.TCPAddr).Port
	free.Close()
	inner.Close()
	settings := file(t, fmt.Sprintf("node_name=core-1\nserves=control_plane\nip=127.0.0.7\naddresses.control=%s\nmachine_class=m\nzone=hall\n"+
		"region=w\nzones.hall=w\nspare_ports=%d,%d\nseed_nodes=%s\nfirst_start=true\ndata_folder=/none\n", control,
		link, link+1, control))
	old, next, copied := t.TempDir(), filepath.Join(t.TempDir(), "new"), filepath.Join(t.TempDir(), "backup")
	var items string
	core(old, settings, func(at string) {
		call(t, done, "config", "put", file(t, change), at)
		call(t, done, "evacuate", "hall", at)
		items = call(t, done, "config", "get", at)
	})
	require.Contains(t, call(t, done, "verify", "--data", old), "2 items: 1 routes, 1 services, evacuated: hall")
	require.Contains(t, call(t, done, "backup", copied, "--data", old), "whether agreed on or not")
	var said stand
	require.NoError(t, json.Unmarshal([]byte(call(t, done, "verify", copied, "--json")), &said))
	require.Equal(t, []string{control}, said.Members)

	at := "--settings=" + settings
	call(t, wrongUse, "backup", copied+"2")
	call(t, wrongUse, "verify")
	call(t, wrongUse, "restore", copied, "--new-mesh", at)
	call(t, wrongUse, "restore", copied, "--new-mesh", "--data", next, "--settings=/does/not/exist")
	require.Contains(t, call(t, refused, "restore", copied, "--data", next, at), "would undo what it has acknowledged after index")
	require.Contains(t, call(t, refused, "restore", copied, "--data", old, "--new-mesh", at), "an empty folder alone")
	require.Contains(t, call(t, refused, "verify", file(t, "micaline-mesh backup")), "no backup")
	require.Contains(t, call(t, refused, "verify", "--data", t.TempDir()), "has no consensus.db")
	require.NoDirExists(t, next)
	require.Contains(t, call(t, done, "restore", copied, "--data", next, "--new-mesh", at), "is given up")
	core(next, settings, func(at string) {
		require.Equal(t, items, call(t, done, "config", "get", at))
		call(t, done, "return", "hall", at)
	})
	require.NotContains(t, call(t, done, "verify", "--data", next), "evacuated")
}

// The whole way with real processes: a core machine and an agent, on loopback.
func TestAgainstAMesh(t *testing.T) {
	ports := make([]int, 6)
	for i := range ports { // held together, so that they differ
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
		l.Close()
	}
	control := fmt.Sprintf("127.0.0.1:%d", ports[0])
	common := fmt.Sprintf("machine_class=m\nzone=hall-a\nregion=west\nzones.hall-a=west\nspare_ports=%d,%d\nseed_nodes=%s\nfirst_start=true\nlimits.memory_mb=200\n"+
		"bounds.warmup_excess=1.5\nbounds.warmup_margin=5\nbounds.retry_ratio=0.2\nbounds.extra_tries=62\nbounds.retry_window=10s\n",
		ports[1], ports[1]+1, control)
	coreSet, err := bootstrap.Parse([]byte(common + "node_name=core-1\nserves=control_plane\nip=127.0.0.1\naddresses.control=" + control +
		"\ndata_folder=" + t.TempDir() + "\n"))
	require.NoError(t, err)
	path := file(t, common+fmt.Sprintf("node_name=side-1\nserves=sidecar\nip=127.0.0.2\naddresses.control=127.0.0.2:%d\naddresses.outbound=127.0.0.2:%d\n"+
		"addresses.inbound=127.0.0.2:%d\naddresses.ready=127.0.0.2:%d\nservice=s\napp_address=127.0.0.2:9\n", ports[2], ports[3], ports[4], ports[5]))
	agentSet, err := bootstrap.Load(path)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	l := &log.Logger{Handler: discard.New()}
	ended := make(chan error, 2)
	go func() { ended <- controlplane.New(coreSet, l).Run(ctx) }()
	go func() { ended <- sidecar.New(path, agentSet, l).Run(ctx) }()
	defer func() {
		cancel()
		require.NoError(t, <-ended)
		require.NoError(t, <-ended)
	}()

	at := "--core=" + control
	call(t, done, "config", "put", file(t, change), at) // asks again until somebody leads
	got := call(t, done, "config", "get", at)
	require.JSONEq(t, strings.TrimSuffix(strings.TrimPrefix(change, `{"add":`), "}"), got)
	require.Contains(t, call(t, done, "config", "diff", file(t, strings.ReplaceAll(change, "00000007", "00000009")), at), "routes r 00000009: changed, was 00000007")
	other := file(t, strings.Replace(change, `"path_start":"/"`, `"path_start":"/other/"`, 1))
	for _, verb := range []string{"check", "put"} { // another content under the version that stands
		require.Contains(t, call(t, refused, "config", verb, other, at), "routes r: version 00000007 was confirmed with other content (differs: body.path_start)")
	}
	require.Contains(t, call(t, refused, "config", "check", file(t, `{"remove":{"services":[{"name":"s","version":"00000009"}]}}`), at), "unknown service")
	call(t, done, "evacuate", "hall-a", at)
	var said struct {
		Index     uint64
		Evacuated []string
		Cores     []coreRow
		Agents    []agentRow
	}
	for until := time.Now().Add(20 * time.Second); len(said.Agents) == 0 || !said.Agents[0].Ready || said.Agents[0].Index != said.Index; {
		require.True(t, time.Now().Before(until), "the agent does not get ready: %+v", said)
		require.NoError(t, json.Unmarshal([]byte(call(t, done, "status", "--json", at)), &said))
	}
	require.Equal(t, "leader", said.Cores[0].Role)
	require.Equal(t, []string{"hall-a"}, said.Evacuated)
	require.Contains(t, call(t, done, "status", at), "127.0.0.2")
	require.Contains(t, call(t, done, "servers", at), "CAPACITY")
	plan := func(code int, words ...string) string {
		return call(t, code, append([]string{"window", "plan", "power", at}, words...)...)
	}
	require.Contains(t, plan(wrongUse, "--zone=hall-a", "--start=soon", "--end=1h"), "--start")
	require.Contains(t, plan(refused, "--zone=hall-b", "--start=1h", "--end=1h"), "zones[0]: hall-b")
	require.Contains(t, plan(refused, "--nodes=10.9.9.9", "--start=1h", "--end=1h"), "nodes[0]: no machine 10.9.9.9")
	require.Contains(t, plan(refused, "--zone=hall-a", "--start=1h", "--end=1h"), "0 would stay")
	require.Contains(t, plan(refused, "--nodes=127.0.0.2", "--start=1s", "--end=1h"), "start: it is in")
	plan(done, "--nodes=127.0.0.2", "--start=1h", "--end=1h", "--why=a test")
	require.Contains(t, plan(refused, "--nodes=127.0.0.2", "--start=2h", "--end=1h"), "other content")
	call(t, done, "window", "cancel", "power", at)
	require.Contains(t, call(t, done, "window", "list", at), "cancelled")
	require.Contains(t, call(t, refused, "window", "show", "nothing", at), "no window nothing")
	call(t, wrongUse, "window", at)
	require.Contains(t, call(t, done, "region", "plan", "west", at), "0 would stay")

	copied := filepath.Join(t.TempDir(), "backup")
	require.Contains(t, call(t, done, "backup", copied, at), "2 items: 1 routes, 1 services")
	require.Contains(t, call(t, wrongUse, "backup", copied, at), "is there already")
	require.Contains(t, call(t, done, "verify", copied), "evacuated: hall-a")
	require.Contains(t, call(t, refused, "verify", "--data", coreSet.DataFolder), "another process has the file open")

	resp, err := http.Get("http://" + agentSet.Outbound + "/nowhere")
	require.NoError(t, err)
	resp.Body.Close()
	w := httptest.NewRecorder()
	e := &exporter.Exporter{Mesh: meshclient.New([]string{control}), Timeout: 5 * time.Second}
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`micaline_mesh_requests_ended_total{machine="127.0.0.2",process="agent",zone="hall-a",result="no_route"} 1`,
		`micaline_mesh_core_role{machine="127.0.0.1",process="core",zone="hall-a",role="leader"} 1`,
		`micaline_mesh_core_zone_evacuated{machine="127.0.0.1",process="core",zone="hall-a",zone_name="hall-a"} 1`,
		`micaline_mesh_core_proposals_total{machine="127.0.0.1",process="core",zone="hall-a",result="agreed"} 2`,
		`micaline_mesh_budget_allowed{machine="127.0.0.2",process="agent",zone="hall-a",service="s"} 31`,
		`micaline_mesh_gate_cold_bound{machine="127.0.0.2",process="agent",zone="hall-a"} 12.5`,
		`micaline_mesh_config_behind{machine="127.0.0.2",zone="hall-a"} 0`,
		`micaline_mesh_leaders 1`, `micaline_mesh_dropped 0`,
	} {
		require.Contains(t, w.Body.String(), line+"\n")
	}

	r, err := http.NewRequest(http.MethodGet, "http://"+agentSet.Outbound+"/", nil)
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("Try-Id", "seen")
	resp, err = http.DefaultClient.Do(r)
	require.NoError(t, err)
	resp.Body.Close()
	var traces struct{ Requests []traceRow }
	require.NoError(t, json.Unmarshal([]byte(call(t, done, "requests", "why", "seen", "--json", at)), &traces))
	require.Len(t, traces.Requests, 1)
	require.Equal(t, []any{"refused", 503, "no backend of its service is open", "r", uint64(7), "127.0.0.2"}, []any{traces.Requests[0].Result,
		traces.Requests[0].Status, traces.Requests[0].Why, traces.Requests[0].Route, traces.Requests[0].Version, traces.Requests[0].Agent})
	require.Contains(t, call(t, done, "requests", "why", "seen", at), "no backend of its service is open; come back in")
	require.Contains(t, call(t, refused, "requests", "why", "unseen", at), "no agent has a record of unseen")
	require.Equal(t, 3, strings.Count(call(t, done, "requests", "last", at), "\n"))
	require.Equal(t, 2, strings.Count(call(t, done, "requests", "last", "--reason=no_route", "--agent=127.0.0.2", at), "\n"))
	call(t, wrongUse, "requests", "last", "--reason=tired", at)
	call(t, wrongUse, "requests", "last", "--agent=127.0.0.9", at)
}
