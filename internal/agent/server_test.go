package agent

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A client that closes its own side only has gone as well, and must not be told that it was served.
func TestHalfCloseIsNotServed(t *testing.T) {
	b := newBackend(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startAgentWith(t, testSettings, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := a.request("unsafe", "15000m").Write(c); err != nil {
		t.Fatal(err)
	}
	receive(t, "request", b.Got)
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if text, _ := io.ReadAll(c); len(text) > 0 {
		t.Errorf("answered %q", text)
	}
}

func TestBadRequests(t *testing.T) {
	b := newBackend(t, alwaysOK)
	a := startAgentWith(t, testSettings, b)
	for what, change := range map[string]func(*http.Request){
		"class":    func(r *http.Request) { r.Header.Set(classHeader, "nobody") },
		"path":     func(r *http.Request) { r.URL.Path = "/safe/1"; r.URL.RawPath = "" },
		"tenant":   func(r *http.Request) { r.Header.Set(tenantHeader, "nobody") },
		"budget":   func(r *http.Request) { r.Header.Set(budgetHeader, "480") },
		"NaN":      func(r *http.Request) { r.Header.Set(budgetHeader, "NaNm") },
		"infinite": func(r *http.Request) { r.Header.Set(budgetHeader, "Infm") },
		"negative": func(r *http.Request) { r.Header.Set(budgetHeader, "-3m") },
		"id":       func(r *http.Request) { r.Header.Del(callIDHeader) },
		"long id":  func(r *http.Request) { r.Header.Set(callIDHeader, strings.Repeat("x", maxCallID+1)) },
		"key":      func(r *http.Request) { r.Header.Del(keyHeader) },
		"method":   func(r *http.Request) { r.Method = http.MethodPut },
		"body": func(r *http.Request) {
			r.Body = io.NopCloser(bytes.NewReader(make([]byte, mostBody+1)))
			r.ContentLength = mostBody + 1
		},
	} {
		req := a.request("keyed", "15000m")
		change(req)
		if status, _ := a.do(t, req); status < 400 || status >= 500 {
			t.Errorf("%s: answered %d", what, status)
		}
	}
	if len(b.Got) > 0 {
		t.Errorf("%d reached the backend", len(b.Got))
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	l := newScriptedDiscovery(t, listJSON(1, true, memberJSON("x", "127.0.0.1:1", "Terminating", 0)))
	a := startAgent(t, testConfig(t, l.Addr, testSettings))
	resp, err := a.client.Do(a.request("unsafe", "15000m"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if resp.StatusCode != statusRefused || err != nil || after <= 0 {
		t.Errorf("answered %s with Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
}
