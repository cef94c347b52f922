package exporter

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/meshclient"
	"example.org/micaline/internal/mesh/transport"
	"github.com/prometheus/common/expfmt"
	"github.com/stretchr/testify/require"
)

// standIn serves figures on a link address of its own.
func standIn(t *testing.T, answer func() *transport.StatsReport) (link string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var stats transport.StatsServer
	server := &transport.Server{Handlers: map[string]func(transport.Hello, *transport.Conn){
		transport.UseStats: func(_ transport.Hello, c *transport.Conn) {
			stats.Serve(c, func(transport.StatsQuery) *transport.StatsReport { return answer() })
		},
	}}
	go server.Serve(l)
	return l.Addr().String()
}

func gauge(name string, labels ...string) transport.Sample {
	return transport.Sample{Name: name, Labels: labels, Value: 1}
}

// Two core machines, of which only one is named, and one that is down; an agent that answers, one
// that hangs up, and one that gives figures that no process of this version has.
func TestScrape(t *testing.T) {
	agent := func(index uint64, samples ...transport.Sample) string {
		return standIn(t, func() *transport.StatsReport {
			return &transport.StatsReport{Samples: samples, Agent: &transport.AgentState{Index: index}}
		})
	}
	var odd []transport.Sample
	for i := range mostSeries + 10 {
		odd = append(odd, gauge("micaline_mesh_budget_spent", "service", fmt.Sprint("s", i)))
	}
	odd = append(odd, odd[0], gauge("micaline_mesh_new"), gauge("micaline_mesh_leaders"), gauge("micaline_mesh_budget_allowed", "svc", "s0"),
		gauge("micaline_mesh_budget_allowed", "service", strings.Repeat("x", mostValue+1)))
	stations := []transport.StationStatus{
		{Station: transport.Station{Agent: "10.0.0.1", Zone: "a", Gate: agent(5, gauge("micaline_mesh_agent_ready"))}},
		{Station: transport.Station{Agent: "10.0.0.2", Zone: "a", Gate: standIn(t, func() *transport.StatsReport { return nil })}},
		{Station: transport.Station{Agent: "10.0.0.3", Zone: "b\xff", Gate: agent(4, odd...)}},
	}
	var members []transport.Member
	core := func(self, role string, stations []transport.StationStatus) string {
		return standIn(t, func() *transport.StatsReport {
			return &transport.StatsReport{Samples: []transport.Sample{gauge("micaline_mesh_uptime_seconds")}, Core: &transport.CoreState{
				Self: self, Zone: "a", Role: role, Index: 5, Members: members, Stations: stations}}
		})
	}
	first, second := core("10.1.0.1:80", "leader", stations), core("10.1.0.2:80", "follower", nil)
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	dead.Close()
	members = []transport.Member{{Control: "10.1.0.1:80", Link: first}, {Control: "10.1.0.2:80", Link: second},
		{Control: "10.1.0.3:80", Link: dead.Addr().String()}}
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"address":%q}`, first)
	}))
	defer control.Close()

	e := &Exporter{Mesh: meshclient.New([]string{control.Listener.Addr().String()}), Timeout: 5 * time.Second}
	server := httptest.NewServer(e)
	defer server.Close()
	resp, err := http.Get(server.URL + "/metrics")
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	require.NoError(t, err)
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(strings.NewReader(string(body)))
	require.NoError(t, err)
	require.Len(t, families["micaline_mesh_budget_spent"].Metric, mostSeries)
	require.NotContains(t, families, "micaline_mesh_new")
	require.NotContains(t, families, "micaline_mesh_budget_allowed")
	for _, line := range []string{
		`micaline_mesh_dropped 15`, `micaline_mesh_leaders 1`, `micaline_mesh_cores_silent 1`,
		`micaline_mesh_up{machine="10.1.0.2",zone="a",process="core"} 1`, `micaline_mesh_up{machine="10.1.0.3",zone="",process="core"} 0`,
		`micaline_mesh_up{machine="10.0.0.1",zone="a",process="agent"} 1`, `micaline_mesh_up{machine="10.0.0.2",zone="a",process="agent"} 0`,
		`micaline_mesh_agent_ready{machine="10.0.0.1",process="agent",zone="a"} 1`,
		`micaline_mesh_config_behind{machine="10.0.0.1",zone="a"} 0`, `micaline_mesh_config_behind{machine="10.0.0.3",zone="b?"} 1`,
	} {
		require.Contains(t, string(body), line+"\n")
	}
}
