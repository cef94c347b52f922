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

// Every outcome of the first attempt that the protocol defines: a keyed request may always be
// retried, an unsafe one only if it can't have run.
func TestOutcomes(t *testing.T) {
	rejected := "HTTP/1.1 %d No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for _, row := range []struct {
		name       string
		text       string
		closes     bool
		mayHaveRun bool
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
		{"oversized answer", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", int64(maxBody+1), strings.Repeat("x", maxBufferedBody)), true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			script := func(n int, _ *http.Request) (string, bool) {
				if n == 0 {
					return row.text, row.closes
				}
				return okResponse, false
			}
			for _, class := range []string{"keyed", "unsafe"} {
				// The retry goes to the other backend, which always serves.
				scripted := newBackend(t, script)
				other := newBackend(t, alwaysOK)
				a := startAgentWith(t, testSettings, scripted, other)
				for len(scripted.Got) == 0 { // until the module has chosen the first backend
					status, body := a.do(t, a.request(class, "15000m"))
					retried := class == "keyed" || !row.mayHaveRun
					switch {
					case len(scripted.Got) == 0 && status == 200:
						<-other.Got
					case retried && (status != 200 || body != "served"):
						t.Errorf("%s: answered %d %q", class, status, body)
					case !retried && status != statusFailed:
						t.Errorf("%s: answered %d", class, status)
					case retried && len(scripted.Got)+len(other.Got) != 2, !retried && len(scripted.Got)+len(other.Got) != 1:
						t.Errorf("%s: %d attempts", class, len(scripted.Got)+len(other.Got))
					}
				}
			}
		})
	}
}

// A complete answer is served even if other data precedes or follows it. Its connection is not
// reused if data follows, which would be read as the next request's answer.
func TestMoreThanAnAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"a duplicate behind":     okResponse + strings.Replace(okResponse, "served", "again!", 1),
		"noise behind":           okResponse + "\x00\x01\r\n\r\n",
		"interim answers before": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + okResponse,
		"an invalid report":      strings.Replace(okResponse, "Content-Type", "X-Load-Report: outstanding=-Inf,=,\r\nContent-Type", 1),
	} {
		a := startAgentWith(t, testSettings, newBackend(t, func(int, *http.Request) (string, bool) { return text, false }))
		for range 3 {
			if status, body := a.do(t, a.request("unsafe", "15000m")); status != 200 || body != "served" {
				t.Errorf("%s: answered %d %q", name, status, body)
			}
		}
	}
}

// A keyed request that may have run is not retried in a cell that does not deduplicate its key.
func TestKeyedStaysInItsCell(t *testing.T) {
	closesConnection := func(int, *http.Request) (string, bool) { return "", true }
	x, y := newBackend(t, closesConnection), newBackend(t, closesConnection)
	a := startAgentWith(t, testSettings, x, y)
	a.do(t, a.request("celled", "15000m"))
	if len(x.Got) > 0 && len(y.Got) > 0 {
		t.Error("the request was sent to both cells")
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
		t.Errorf("answered %d instead of refusing a request that never ran", status)
	}
}

func TestTimeout(t *testing.T) {
	b := newBackend(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startAgentWith(t, testSettings, b)
	status, _ := a.do(t, a.request("unsafe", "150m"))
	if status != statusFailed {
		t.Errorf("answered %d, but the request may have run", status)
	}
	receive(t, "close of the connection", b.Ended)
	if len(b.Got) != 1 {
		t.Errorf("%d attempts", len(b.Got))
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
			t.Errorf("%q is parsed as %+v", text, l)
		}
	}
}

func TestServerIDsStayApart(t *testing.T) {
	ids := serverIDs{ids: map[string]policy.ServerID{}, names: map[policy.ServerID]string{}}
	x, y := ids.idFor("costarring"), ids.idFor("liquid") // the same hash
	if x+1 != y || ids.idFor("costarring") != x {
		t.Errorf("got %d and %d", x, y)
	}
	if ids.release(x); ids.idFor("liquid") != y {
		t.Error("the number of the second name changed after the first was released")
	}
}

// A retry whose connection is available only after backends have stopped deduplicating it is not
// sent, so it has not run.
func TestLateRepeatIsNotSent(t *testing.T) {
	b := newBackend(t, alwaysOK)
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	client := newBackendClient(TCP{}, &cfg.Settings, 4, 1<<20, slog.New(slog.DiscardHandler))
	target := client.NewTarget(b.Addr, 0)
	msg := newMessage("POST", "/keyed/1", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r := client.exchange(ctx, target, &msg, time.Now(), nil); r.outcome != policy.NotSent || len(b.Got) > 0 {
		t.Errorf("after the time limit: outcome %d, %d requests sent", r.outcome, len(b.Got))
	}
	if r := client.exchange(ctx, target, &msg, time.Now().Add(testTimeout), nil); r.outcome != policy.OK {
		t.Errorf("within the time limit: outcome %d", r.outcome)
	}
}

// A request whose deadline passes while it waits for a connection never ran, and one that is
// cancelled ends as cancelled. Neither occupies the socket afterwards.
func TestConnectionThatNeverComesUp(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", testSettings)
	client := newBackendClient(TCP{}, &cfg.Settings, 1, 1<<20, slog.New(slog.DiscardHandler))
	target := client.NewTarget("127.0.0.1:1", 0)
	msg := newMessage("GET", "/", "x", nil, nil, nil)
	expired, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	if r := client.exchange(expired, target, &msg, time.Time{}, nil); r.outcome != policy.ConnectFailed {
		t.Errorf("after the deadline: outcome %d", r.outcome)
	}
	cancelled, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	if r := client.exchange(cancelled, target, &msg, time.Time{}, nil); r.outcome != policy.Cancelled {
		t.Errorf("cancelled: outcome %d", r.outcome)
	}
	ctx, end := context.WithTimeout(context.Background(), testTimeout)
	defer end()
	if r := client.exchange(ctx, client.NewTarget(newBackend(t, alwaysOK).Addr, 0), &msg, time.Time{}, nil); r.outcome != policy.OK {
		t.Errorf("with the only socket free again: outcome %d", r.outcome)
	}
}
