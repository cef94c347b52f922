package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/connpool"
	"example.org/micaline/internal/standin"
	"example.org/micaline/policy"
)

// Each row of the protocol's table of outcomes, first at one backend that then serves: a keyed request may go
// again whatever happened, an unsafe one only if it cannot have run.
func TestOutcomes(t *testing.T) {
	rejected := "HTTP/1.1 %d No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for _, row := range []struct {
		name   string
		text   string
		closes bool
		ran    bool // it may have
	}{
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, true},
		{"turned away with 503", fmt.Sprintf(rejected, 503), false, false},
		{"turned away with 504", fmt.Sprintf(rejected, 504), false, false},
		{"503 of its own", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, true},
		{"reset", "", true, true},
		{"broken answer", "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf", true, true},
		{"shorter than it says, the connection open", "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf", false, true},
		{"half a head, the connection open", "HTTP/1.1 200 OK\r\nContent-", false, true},
		{"said to be oversized", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhalf", false, true},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nhalf", false, true},
		{"bad chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf", false, true},
		{"another protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + okResponse, false, true},
		{"nonsense", "SSH-2.0-x\r\n\r\n", true, true},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10), true, true},
		{"oversized answer", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", int64(mostBody+1), strings.Repeat("x", maxBufferedBody)), true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			script := func(n int, _ *http.Request) (string, bool) {
				if n == 0 {
					return row.text, row.closes
				}
				return okResponse, false
			}
			for _, class := range []string{"keyed", "unsafe"} {
				// The other attempt goes to the second backend, so one script serves for both.
				both := newBackend(t, script)
				other := newBackend(t, alwaysOK)
				a := startAgentWith(t, testSettings, both, other)
				for len(both.Got) == 0 { // until the draw falls on the first
					status, body := a.do(t, a.request(class, "15000m"))
					again := class == "keyed" || !row.ran
					switch {
					case len(both.Got) == 0 && status == 200:
						<-other.Got
					case again && (status != 200 || body != "served"):
						t.Errorf("%s: answered %d %q", class, status, body)
					case !again && status != statusFailed:
						t.Errorf("%s: answered %d", class, status)
					case again && len(both.Got)+len(other.Got) != 2, !again && len(both.Got)+len(other.Got) != 1:
						t.Errorf("%s: sent %d times", class, len(both.Got)+len(other.Got))
					}
				}
			}
		})
	}
}

// A good answer is served whatever stands before and behind it; its connection is not used again, or what stands
// behind it would be the next request's answer.
func TestMoreThanAnAnswer(t *testing.T) {
	for what, text := range map[string]string{
		"a copy behind":   okResponse + strings.Replace(okResponse, "served", "again!", 1),
		"noise behind":    okResponse + "\x00\x01\r\n\r\n",
		"hints before":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + okResponse,
		"a broken report": strings.Replace(okResponse, "Content-Type", "X-Load-Report: outstanding=-Inf,=,\r\nContent-Type", 1),
	} {
		a := startAgentWith(t, testSettings, newBackend(t, func(int, *http.Request) (string, bool) { return text, false }))
		for range 3 {
			if status, body := a.do(t, a.request("unsafe", "15000m")); status != 200 || body != "served" {
				t.Errorf("%s: answered %d %q", what, status, body)
			}
		}
	}
}

// A keyed request that may have run is not sent to a backend that does not know its key.
func TestKeyedStaysInItsCell(t *testing.T) {
	breaks := func(int, *http.Request) (string, bool) { return "", true }
	x, y := newBackend(t, breaks), newBackend(t, breaks)
	a := startAgentWith(t, testSettings, x, y)
	a.do(t, a.request("celled", "15000m"))
	if len(x.Got) > 0 && len(y.Got) > 0 {
		t.Error("sent to both cells")
	}
}

func TestConnectFailed(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	gone := &standin.Script{Addr: closed.Addr().String()}
	a := startAgentWith(t, testSettings, gone)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != statusRefused {
		t.Errorf("answered %d: what never ran can be refused", status)
	}
}

func TestTimeout(t *testing.T) {
	b := newBackend(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startAgentWith(t, testSettings, b)
	status, _ := a.do(t, a.request("unsafe", "150m"))
	if status != statusFailed {
		t.Errorf("answered %d: it may have run", status)
	}
	receive(t, "close of the connection", b.Ended)
	if len(b.Got) != 1 {
		t.Errorf("sent %d times", len(b.Got))
	}
}

func TestProbe(t *testing.T) {
	b := newBackend(t, func(_ int, r *http.Request) (string, bool) {
		if r.URL.Path != loadPath {
			return "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", false
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\noutstanding=7,recent_ms=12", false
	})
	cfg := testConfig(t, "127.0.0.1:1", strings.Replace(testSettings, `"off"`, `"on_probe"`, 1))
	r := newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, slog.New(slog.DiscardHandler)).probe(context.Background(), &connpool.Target{Addr: b.Addr}, &cfg.Settings)
	if r.outcome != policy.OK || r.load.InFlight != 7 || r.load.ServiceTime != 12*time.Millisecond || r.load.Queue != -1 {
		t.Errorf("got %+v", r)
	}
}

func TestBadReportsAreAbsent(t *testing.T) {
	for _, text := range []string{"", "=", "outstanding", "outstanding=x", "outstanding=NaN", "outstanding=-1", "other=3", ",,,"} {
		if l := parseLoad(text, []string{"outstanding"}); l.Known {
			t.Errorf("%q is taken for %+v", text, l)
		}
	}
}

func TestServerIDsStayApart(t *testing.T) {
	ids := serverIDs{ids: map[string]policy.ServerID{}, names: map[policy.ServerID]string{}}
	x, y := ids.idFor("costarring"), ids.idFor("liquid") // one hash
	if x+1 != y || ids.idFor("costarring") != x {
		t.Errorf("got %d and %d", x, y)
	}
	if ids.release(x); ids.idFor("liquid") != y {
		t.Error("the second name's number has changed with the first gone")
	}
}

// A repeat that comes up too late to be dropped is not sent, and so has not run.
func TestLateRepeatIsNotSent(t *testing.T) {
	b := newBackend(t, alwaysOK)
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	p := newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, slog.New(slog.DiscardHandler))
	to := p.NewTarget(b.Addr, 0)
	m := newMessage("POST", "/keyed/1", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r := p.exchange(ctx, to, &m, time.Now(), nil); r.outcome != policy.NotSent || len(b.Got) > 0 {
		t.Errorf("outcome %d, %d sent", r.outcome, len(b.Got))
	}
	if r := p.exchange(ctx, to, &m, time.Now().Add(testTimeout), nil); r.outcome != policy.OK {
		t.Errorf("in time: outcome %d", r.outcome)
	}
}

// A request that waits for a connection when its client gives up never ran, and one that is cancelled is told so. Neither
// keeps the socket.
func TestConnectionThatNeverComesUp(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	p := newBackendClient(TCP{}, &cfg.Settings, 1, 1<<20, slog.New(slog.DiscardHandler))
	to := p.NewTarget("127.0.0.1:1", 0)
	m := newMessage("GET", "/", "x", nil, nil, nil)
	over, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	if r := p.exchange(over, to, &m, time.Time{}, nil); r.outcome != policy.ConnectFailed {
		t.Errorf("out of time: outcome %d", r.outcome)
	}
	given, giveUp := context.WithCancel(context.Background())
	giveUp()
	if r := p.exchange(given, to, &m, time.Time{}, nil); r.outcome != policy.Cancelled {
		t.Errorf("given up: outcome %d", r.outcome)
	}
	ctx, end := context.WithTimeout(context.Background(), testTimeout)
	defer end()
	if r := p.exchange(ctx, p.NewTarget(newBackend(t, alwaysOK).Addr, 0), &m, time.Time{}, nil); r.outcome != policy.OK {
		t.Errorf("by the only socket: outcome %d", r.outcome)
	}
}
