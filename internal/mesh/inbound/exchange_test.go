package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

const maxResponse = 4 << 10 // maximum size of a response in these tests, in bytes

// rawResponse builds a response from its status line, headers separated by bars, and body.
func rawResponse(status, headers, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + strings.ReplaceAll(headers, "|", "\r\n") + "\r\n\r\n" + body
}

// TestAnswers reads valid and damaged responses, and those of other requests. An error here would
// break the rule MIXED (a response goes to the wrong request), or, through a false proof that a
// request did not run, TWICE and REFUSED (see meshtest.Rules).
func TestAnswers(t *testing.T) {
	sealed := "Try-Id: t1|Server-Seal: s"
	valid := rawResponse("200 OK", sealed+"|Content-Length: 4", "body")
	stale := rawResponse("200 OK", "Try-Id: t0|Server-Seal: s|Content-Length: 4", "else")
	full := rawResponse("503 Full", "Try-Id: t1|Not-Run: full|Content-Length: 0", "")
	staleFull := rawResponse("503 Full", "Try-Id: t0|Not-Run: full|Content-Length: 0", "")
	for _, c := range []struct {
		name, bytes string
		status      int // of the response; 0 if no response can be trusted
		verdict     transport.Verdict
		reason      transport.Reason
		keepAlive   bool
		connUsed    bool // a request was sent on the connection before
	}{
		{"right", valid, 200, transport.Ran, 0, true, false},
		{"another's first", stale + valid, 200, transport.Ran, 0, false, false},
		{"another's only", stale, 0, transport.MayHaveRun, transport.Broken, false, false},
		{"others' for ever", strings.Repeat(stale, 9) + valid, 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"no id", rawResponse("200 OK", "Server-Seal: s|Content-Length: 4", "body"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"bytes behind", valid + "x", 200, transport.Ran, 0, false, false},
		{"another's behind", valid + stale, 200, transport.Ran, 0, false, false},
		{"half", valid[:len(valid)-2], 0, transport.MayHaveRun, transport.Broken, false, false},
		{"nothing", "", 0, transport.MayHaveRun, transport.Broken, false, false},
		{"no answer", "\x00\x01 nonsense\r\n\r\n", 0, transport.MayHaveRun, transport.Broken, false, false},
		{"no seal", rawResponse("200 OK", "Try-Id: t1|Content-Length: 4", "body"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"encoded", rawResponse("200 OK", sealed+"|Content-Encoding: gzip|Content-Length: 4", "body"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"chunked", rawResponse("200 OK", sealed+"|Transfer-Encoding: chunked", "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"), 200, transport.Ran, 0, true, false},
		{"chunked, cut", rawResponse("200 OK", sealed+"|Transfer-Encoding: chunked", "2\r\nbo\r\n2\r\ndy\r\n"), 0, transport.MayHaveRun, transport.Broken, false, false},
		{"no length", rawResponse("200 OK", sealed, "body"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"too long", rawResponse("200 OK", sealed+"|Content-Length: 9999", strings.Repeat("x", 9999)), 0, transport.MayHaveRun, transport.Broken, false, false},
		{"1xx first", rawResponse("103 Early", "Try-Id: t1", "") + valid, 200, transport.Ran, 0, true, false},
		{"other protocol", rawResponse("101 Switching", "Try-Id: t1|Upgrade: x|Connection: upgrade", "") + valid, 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"leaving", rawResponse("200 OK", sealed+"|Connection: close|Content-Length: 4", "body"), 200, transport.Ran, 0, false, false},
		{"failure", rawResponse("500 Oh", "Try-Id: t1|Content-Length: 4", "body"), 500, transport.Ran, 0, true, false},
		{"503 that ran", rawResponse("503 Oh", "Try-Id: t1|Content-Length: 4", "body"), 503, transport.Ran, 0, true, false},
		{"full", full, 503, transport.NotRun, transport.Full, true, false},
		{"not run, without id", rawResponse("400 Bad", "Not-Run: id|Content-Length: 0", ""), 400, transport.NotRun, transport.Broken, true, false},
		{"not run, without id, behind another's request", rawResponse("400 Bad", "Not-Run: id|Content-Length: 0", ""), 0, transport.MayHaveRun, transport.InvalidResponse, false, true},
		{"full, behind another's request", full, 503, transport.NotRun, transport.Full, true, true},
		{"ran and did not", rawResponse("200 OK", sealed+"|Not-Run: 1|Content-Length: 4", "body"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"a failure without a length", rawResponse("500 Oh", "Try-Id: t1", "bo"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"no status", rawResponse("000 No", sealed+"|Content-Length: 4", "body"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"an unknown status", rawResponse("720 No", sealed+"|Content-Length: 4", "body"), 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"1xx for ever", strings.Repeat(rawResponse("103 Early", "Try-Id: t1", ""), 17) + valid, 0, transport.MayHaveRun, transport.InvalidResponse, false, false},
		{"another life", rawResponse("421 No", "Try-Id: t1|Server-Id: b2|Content-Length: 0", ""), 421, transport.NotRun, transport.UnknownBackend, true, false},
		{"another's not run", staleFull, 0, transport.MayHaveRun, transport.Broken, false, false},
		{"another's not run first", staleFull + valid, 200, transport.Ran, 0, false, false},
		{"another's 421 first", rawResponse("421 No", "Try-Id: t0|Content-Length: 0", "") + valid, 200, transport.Ran, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			limit := &io.LimitedReader{R: strings.NewReader(c.bytes)}
			buffered := bufio.NewReader(limit)
			reader := responseReader{buffered: buffered, limitRead: func(n int64) { limit.N = n }, maxBytes: maxResponse, req: &transport.Request{Try: "t1", Method: "POST"}, freshConn: !c.connUsed}
			resp, failure := reader.read()
			if c.status == 0 {
				require.Nil(t, resp)
				require.Equal(t, c.verdict, failure.Verdict)
				require.Equal(t, c.reason, failure.Reason)
				return
			}
			require.Nil(t, failure)
			require.Equal(t, c.status, resp.status)
			require.Equal(t, c.keepAlive, resp.keepAlive && buffered.Buffered() == 0)
			require.Equal(t, c.status == 200, string(resp.body) == "body" && c.status < 400)
			if failure = resp.notRunFailure(); failure == nil {
				failure = &transport.Failure{Verdict: transport.Ran}
			}
			require.Equal(t, c.verdict, failure.Verdict)
			require.Equal(t, c.reason, failure.Reason)
		})
	}
	limit := &io.LimitedReader{R: strings.NewReader(valid[:len(valid)-4] + valid)}
	headReader := responseReader{buffered: bufio.NewReader(limit), limitRead: func(n int64) { limit.N = n }, maxBytes: maxResponse, req: &transport.Request{Try: "t1", Method: "HEAD"}}
	resp, failure := headReader.read()
	require.Nil(t, failure, "a response to HEAD has a length and no body: %v", failure)
	require.Empty(t, resp.body)
}

// TestHost forwards requests to a backend that resets connections, moves or is gone (rules TWICE
// and ROUTE), and checks that a failed run is not blamed on the backend if a call of its own
// failed.
func TestHost(t *testing.T) {
	var h *Host
	announcements, heartbeatNumber := 0, uint64(0)
	handle := func(try string) *transport.Reply {
		reply, _ := h.Handle(&Caller{Disconnected: func() bool { return false }}, &transport.Request{Try: try, Target: "b", Method: "GET", URI: "/", Host: "h", Caller: "s", Customer: "acme", Unsafe: true,
			Left: 5 * time.Second, Aim: time.Second, Patient: time.Second}, nil)
		return reply
	}
	sendHeartbeat := func(address string) {
		heartbeatNumber++
		b := transport.Backend{ID: "b", Address: address, Capacity: 2, Calls: heartbeatNumber}
		h.WithGate(func(now time.Duration, g *Gate) bool {
			g.ProbeSucceeded(now, 0, b)
			return g.Heartbeat(now, b, LocalHeartbeat) && false
		})
	}
	requireGone := func(reply *transport.Reply) {
		for range 2 { // the second is refused without contacting the backend
			require.Equal(t, []any{transport.NotRun, transport.UnknownBackend}, []any{reply.Verdict, reply.Reason})
			reply = handle("later")
		}
	}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		try := r.Header.Get(TryIDHeader)
		w.Header().Set(TryIDHeader, try)
		w.Header().Set(SealHeader, "s")
		switch try {
		case "reset":
			c, _, _ := w.(http.Hijacker).Hijack()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		case "moved":
			w.WriteHeader(http.StatusMisdirectedRequest)
		case "run", "well": // the request makes a call of its own, and then fails or succeeds
			call, deep := h.FindParent(try+".1"), h.FindParent(try+".1.2")
			if !call.Known || !deep.Known || call.Repeat || call.Customer != "acme" || r.Header.Get(CustomerHeader) != "acme" {
				panic("a call made by a run was not recognized")
			}
			h.RecordCallFailure(try + ".1")
			w.WriteHeader(map[string]int{"run": 500, "well": 200}[try])
		default:
			w.WriteHeader(500)
		}
	}))
	defer backend.Close()
	address := backend.Listener.Addr().String()
	h = NewHost(Rules{HeartbeatInterval: time.Minute}, maxResponse, transport.NewByteBudget(1<<30), func() { announcements++ })
	sendHeartbeat(address)
	for _, try := range []string{"reset", "run", "well", "plain", "reset"} {
		reply := handle(try)
		require.Equal(t, []any{try != "reset", try == "run"}, []any{reply.Verdict == transport.Ran, reply.Inner}, try)
		require.NotEqual(t, transport.NotRun, reply.Verdict, try)
	}
	known := h.FindParent("run.1").Known
	require.False(t, known, "a run that has ended makes no calls")
	requireGone(handle("moved"))
	require.Equal(t, 1, announcements)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close() // nothing listens at this address
	sendHeartbeat(listener.Addr().String())
	requireGone(handle("refused"))
	require.Equal(t, 2, announcements)
	sendHeartbeat(address)
	require.Equal(t, transport.Ran, handle("back").Verdict)
	h.StopAccepting()
	require.Equal(t, transport.NotRun, handle("closed").Verdict)
	for try, reasons := range map[string][]transport.Reason{"reset": {transport.Duplicate, transport.Broken}, "moved": {transport.UnknownBackend},
		"closed": {transport.Draining}, "plain": nil} {
		traces := h.Traces.Ask(time.Now(), &transport.TraceQuery{Try: try, Most: 9})
		require.Len(t, traces, len(reasons), try)
		for i, trace := range traces {
			result := map[bool]string{true: "failed", false: "refused"}[try == "reset"]
			require.Equal(t, []any{result, reasons[i], "b"}, []any{trace.Result, trace.Steps[0].Reason, trace.Steps[0].Backend}, try)
		}
	}
}
