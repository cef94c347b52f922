package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

type fake struct {
	ready bool
	ended error
	did   []string
}

func (f *fake) Ready() bool { return f.ready }

func (f *fake) Figures(context.Context) (*Figures, error) {
	return &Figures{Classes: []Class{{"safe", 7, 2, 1}}, Attempts: 11, InFlight: 3, Known: 5, Excluded: 2}, f.ended
}

func (f *fake) Ban(_ context.Context, id string, out bool) (bool, error) {
	f.did = append(f.did, map[bool]string{true: "out ", false: "back "}[out]+id)
	return id == "x y", f.ended
}

func (f *fake) SetDraining(on bool) {
	f.did = append(f.did, map[bool]string{true: "drain", false: "no drain"}[on])
}

func serve(t *testing.T, a Agent) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(a, slog.New(slog.DiscardHandler))
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// call makes a call as it stands, and returns all that comes until the connection ends.
func call(t *testing.T, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%q: closes %v, %v", text, resp.Close, err)
	}
	return resp.StatusCode, string(all)
}

const figures = `agent.requests.safe.served=7
agent.requests.safe.refused=2
agent.requests.safe.failed=1
agent.attempts=11
agent.in_flight=3
agent.backends_known=5
agent.backends_excluded=2
`

func TestCalls(t *testing.T) {
	f := &fake{ready: true}
	addr := serve(t, f)
	for _, c := range []struct {
		line   string
		status int
		body   string // of it, if not empty
		did    string
	}{
		{"GET /healthcheck", 200, "ready\n", ""},
		{"GET /stats", 200, figures, ""},
		{"PUT /backends/x%20y/maint", 200, "", "out x y"},
		{"PUT /backends/x%20y/ready", 200, "", "back x y"},
		{"PUT /backends/x/maint", 404, "there is no backend \"x\"\n", "out x"},
		{"PUT /backends//maint", 404, "", ""},
		{"PUT /backends/x/y/maint", 404, "", ""},
		{"PUT /backends/x", 404, "", ""},
		{"PUT /healthcheck/fail", 200, "", "drain"},
		{"PUT /healthcheck/ok", 200, "", "no drain"},
		{"GET /healthcheck/fail", 405, "", ""},
		{"POST /backends/x%20y/maint", 405, "", ""},
		{"GET /", 404, "", ""},
	} {
		f.did = nil
		status, body := call(t, addr, c.line+" HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		if status != c.status || c.body != "" && body != c.body || strings.Join(f.did, ", ") != c.did {
			t.Errorf("%s: %d %q, did %q", c.line, status, body, f.did)
		}
	}
	f.ready, f.ended = false, errors.New("the agent has ended")
	for _, line := range []string{"GET /healthcheck", "GET /stats", "PUT /backends/x%20y/maint"} {
		if status, _ := call(t, addr, line+" HTTP/1.1\r\nHost: a\r\n\r\n"); status != 503 {
			t.Errorf("%s of an agent that has ended: %d", line, status)
		}
	}
}

// A hundred callers that send nothing, or half a call, keep nobody from an answer, and hold a bounded number of sockets.
func TestHalfCalls(t *testing.T) {
	addr := serve(t, &fake{ready: true})
	for i := range 100 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /stats HTTP/1.1\r\nHo")
		}
		if i >= 90 {
			if status, body := call(t, addr, "GET /stats HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 || body != figures {
				t.Fatalf("behind %d half calls: %d %q", i, status, body)
			}
		}
	}
}
