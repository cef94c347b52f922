package pisciadu

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/brentei"
	"example.org/micaline/internal/lavarella"
	"github.com/prometheus/common/expfmt"
	"github.com/stretchr/testify/require"
)

// standIn serves figures on a link address of its own.
func standIn(t *testing.T, answer func() *brentei.Figures) (link string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var askers brentei.Askers
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := brentei.NewConn(raw)
				defer c.Close()
				var hello brentei.Hello
				if c.Receive(&hello) == nil && hello.Use == brentei.Stats {
					askers.Serve(c, func(brentei.Question) *brentei.Figures { return answer() })
				}
			}()
		}
	}()
	return l.Addr().String()
}

func gauge(name string, labels ...string) brentei.Sample {
	return brentei.Sample{Name: name, Labels: labels, Value: 1}
}

// Two core machines, of which only one is named, and one that is down; an agent that answers, one
// that hangs up, and one that gives figures that no process of this version has.
func TestScrape(t *testing.T) {
	agent := func(index uint64, samples ...brentei.Sample) string {
		return standIn(t, func() *brentei.Figures {
			return &brentei.Figures{Samples: samples, Agent: &brentei.AgentState{Index: index}}
		})
	}
	var odd []brentei.Sample
	for i := range mostSeries + 10 {
		odd = append(odd, gauge("altavia_budget_spent", "service", fmt.Sprint("s", i)))
	}
	odd = append(odd, odd[0], gauge("altavia_new"), gauge("altavia_mesh_leaders"), gauge("altavia_budget_allowed", "svc", "s0"),
		gauge("altavia_budget_allowed", "service", strings.Repeat("x", mostValue+1)))
	stations := []brentei.Heard{
		{Station: brentei.Station{Agent: "10.0.0.1", Zone: "a", Gate: agent(5, gauge("altavia_agent_ready"))}},
		{Station: brentei.Station{Agent: "10.0.0.2", Zone: "a", Gate: standIn(t, func() *brentei.Figures { return nil })}},
		{Station: brentei.Station{Agent: "10.0.0.3", Zone: "b\xff", Gate: agent(4, odd...)}},
	}
	var members []brentei.Member
	core := func(self, role string, stations []brentei.Heard) string {
		return standIn(t, func() *brentei.Figures {
			return &brentei.Figures{Samples: []brentei.Sample{gauge("altavia_uptime_seconds")}, Core: &brentei.CoreState{
				Self: self, Zone: "a", Role: role, Index: 5, Members: members, Stations: stations}}
		})
	}
	first, second := core("10.1.0.1:80", "leader", stations), core("10.1.0.2:80", "follower", nil)
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	dead.Close()
	members = []brentei.Member{{Control: "10.1.0.1:80", Link: first}, {Control: "10.1.0.2:80", Link: second},
		{Control: "10.1.0.3:80", Link: dead.Addr().String()}}
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"address":%q}`, first)
	}))
	defer control.Close()

	e := &Exporter{Mesh: lavarella.New([]string{control.Listener.Addr().String()}), Timeout: 5 * time.Second}
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
	require.Len(t, families["altavia_budget_spent"].Metric, mostSeries)
	require.NotContains(t, families, "altavia_new")
	require.NotContains(t, families, "altavia_budget_allowed")
	for _, line := range []string{
		`altavia_mesh_dropped 15`, `altavia_mesh_leaders 1`, `altavia_mesh_cores_silent 1`,
		`altavia_up{machine="10.1.0.2",zone="a",process="core"} 1`, `altavia_up{machine="10.1.0.3",zone="",process="core"} 0`,
		`altavia_up{machine="10.0.0.1",zone="a",process="agent"} 1`, `altavia_up{machine="10.0.0.2",zone="a",process="agent"} 0`,
		`altavia_agent_ready{machine="10.0.0.1",process="agent",zone="a"} 1`,
		`altavia_mesh_config_behind{machine="10.0.0.1",zone="a"} 0`, `altavia_mesh_config_behind{machine="10.0.0.3",zone="b?"} 1`,
	} {
		require.Contains(t, string(body), line+"\n")
	}
}
