package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/standin/authority"
)

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// house is a server behind a door, and what it takes to come in.
type house struct {
	ca   *authority.Authority
	addr string
	door Door
	did  int // changes
}

func open(t *testing.T) *house {
	t.Helper()
	dir := t.TempDir()
	ca, err := authority.New(dir)
	if err != nil {
		t.Fatal(err)
	}
	h := &house{ca: ca, door: Door{
		Listen: "127.0.0.1:0", Clients: ca.CA,
		Token:  []Token{{hash("reader"), Read}, {hash("changer"), Change}, {hash("instance"), Announce}},
		Client: []Client{{"ops", Change}, {"desk", Read}},
	}}
	if h.door.Certificate, h.door.Key, err = ca.Issue("n1"); err != nil {
		t.Fatal(err)
	}
	if err := h.door.Check(); err != nil {
		t.Fatal(err)
	}
	listeners, err := h.door.Open()
	if err != nil {
		t.Fatal(err)
	}
	h.addr = listeners[0].Addr().String()
	mux := http.NewServeMux()
	fail := func(err error) *Problem {
		var p *Problem
		if !errors.As(err, &p) {
			p = &Problem{Status: 500, Title: err.Error()}
		}
		return p
	}
	mux.HandleFunc("GET /v1/x", Handler(100, fail, func(*http.Request) (any, error) { return h.did, nil }))
	mux.HandleFunc("PUT /v1/x", Handler(100, fail, func(r *http.Request) (any, error) {
		var v struct{ N int }
		if err := Body(r, &v); err != nil {
			return nil, err
		}
		h.did++
		return h.did, nil
	}))
	s := NewServer(&h.door, mux, func(r *http.Request) Role {
		if r.Method == http.MethodGet {
			return Read
		}
		return Change
	})
	done := make(chan error, 1)
	go func() { done <- s.Serve(listeners[0]) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h
}

// caller comes with a token or a certificate; "" for none.
func (h *house) caller(t *testing.T, token, name string) *Caller {
	t.Helper()
	c := Credentials{CA: h.ca.CA}
	var err error
	if token != "" {
		c.TokenFile = filepath.Join(t.TempDir(), "token")
		if err := os.WriteFile(c.TokenFile, []byte(token+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if name != "" {
		if c.Certificate, c.Key, err = h.ca.Issue(name); err != nil {
			t.Fatal(err)
		}
	}
	d, err := NewDialer(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d.At(Address{Name: "n1", Addr: h.addr})
}

// Who is being answered when service ends gets the whole answer, and nobody is waited for without end.
func TestShutdown(t *testing.T) {
	for _, c := range []struct {
		name   string
		within time.Duration
		fails  bool
	}{{"in time", 10 * time.Second, false}, {"too slow", 50 * time.Millisecond, true}} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			begun, goOn := make(chan struct{}), make(chan struct{})
			s := NewServer(&Door{}, nil, nil)
			s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { // behind the door
				close(begun)
				<-goOn
				w.WriteHeader(http.StatusAccepted)
			})
			go s.http.Serve(l)
			answered := make(chan error, 1)
			go func() {
				resp, err := http.Get("http://" + l.Addr().String())
				if err == nil {
					resp.Body.Close()
				}
				answered <- err
			}()
			<-begun
			ended := make(chan struct{})
			go func() { s.Shutdown(c.within); close(ended) }()
			if c.fails {
				<-ended
			} else {
				for { // new connections are refused once service is ending
					conn, err := net.Dial("tcp4", l.Addr().String())
					if err != nil {
						break
					}
					conn.Close()
				}
			}
			close(goOn)
			if err := <-answered; (err != nil) != c.fails {
				t.Errorf("answered: %v", err)
			}
			<-ended
		})
	}
}

// Who comes with which token or certificate may do what; all others are told so, and change nothing.
func TestRoles(t *testing.T) {
	h := open(t)
	for _, c := range []struct {
		token, name  string
		read, change int // status
	}{
		{"", "", 401, 401},
		{"guess", "", 401, 401},
		{"reader", "", 200, 403},
		{"changer", "", 200, 200},
		{"instance", "", 403, 403},
		{"", "stranger", 401, 401},
		{"", "desk", 200, 403},
		{"", "ops", 200, 200},
		{"reader", "ops", 200, 200},
	} {
		at := h.caller(t, c.token, c.name)
		for method, want := range map[string]int{"GET": c.read, "PUT": c.change} {
			before := h.did
			var n int
			err := at.Call(t.Context(), method, "x", nil, struct{ N int }{1}, &n)
			var p *Problem
			got := 200
			if errors.As(err, &p) {
				got = p.Status
			} else if err != nil {
				t.Fatalf("%+v: %v", c, err)
			}
			if got != want || h.did > before && want != 200 {
				t.Errorf("%s with token %q and the certificate of %q: %d, error %v, %d changes", method, c.token, c.name, got, err, h.did-before)
			}
		}
	}
	for _, need := range []Role{Announce, Member, Hold, Read, Change} {
		if who := h.door.role(&http.Request{}); !who.may(need) {
			t.Errorf("whoever opens the socket may not do what %s may", need)
		}
	}
}

// A certificate that somebody else has signed, or a server with that of another, is not believed.
func TestCertificates(t *testing.T) {
	h := open(t)
	other, err := authority.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var n int
	c := Credentials{CA: h.ca.CA}
	if c.Certificate, c.Key, err = other.Issue("ops"); err != nil {
		t.Fatal(err)
	}
	d, err := NewDialer(c)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if err := d.At(Address{Name: "n1", Addr: h.addr}).Call(t.Context(), "GET", "x", nil, nil, &n); err == nil {
		t.Error("another's certificate is believed")
	}
	at := h.caller(t, "changer", "")
	at.addr.Name = "n2"
	if err := at.Call(t.Context(), "GET", "x", nil, nil, &n); err == nil || !strings.Contains(err.Error(), "n2") {
		t.Errorf("n1 stands for n2: %v", err)
	}
}

// Ten thousand connections that say nothing, or half a hello, keep nobody out who speaks, and take no more sockets than
// there is room for.
func TestHalfOpen(t *testing.T) {
	h := open(t)
	at := h.caller(t, "changer", "")
	var n int
	if err := at.Call(t.Context(), "GET", "x", nil, nil, &n); err != nil { // a connection that is known stays
		t.Fatal(err)
	}
	stop, opened := make(chan struct{}), make(chan int)
	go func() {
		var all []net.Conn
		defer func() {
			for _, c := range all {
				c.Close()
			}
			opened <- len(all)
		}()
		for i := range 10_000 {
			c, err := net.Dial("tcp", h.addr)
			if err != nil {
				return // this side has no more sockets
			}
			if all = append(all, c); i%2 == 0 {
				c.Write([]byte{0x16, 3, 1, 2, 0, 1}) // the beginning of a hello
			}
		}
		<-stop
	}()
	for range 20 {
		if err := at.Call(t.Context(), "PUT", "x", nil, struct{ N int }{1}, &n); err != nil {
			t.Errorf("who is known: %v", err)
		}
	}
	close(stop)
	if n := <-opened; n < 10_000 {
		t.Logf("only %d connections could be opened", n)
	}
	// And somebody new, as soon as they come no faster than they are closed.
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for fresh := h.caller(t, "changer", ""); fresh.Call(ctx, "GET", "x", nil, nil, &n) != nil; {
		if ctx.Err() != nil {
			t.Fatal("nobody new comes in")
		}
	}
}

// The oldest that says nothing goes when there are too many; those that are known are counted apart.
func TestEntries(t *testing.T) {
	var e entries
	var all []*entry
	for range mostStrangers + 3 {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		all = append(all, e.add(near))
	}
	if !all[0].closed || !all[2].closed || all[3].closed || len(e.strangers) != mostStrangers {
		t.Errorf("%d are open", len(e.strangers))
	}
	for i := range mostStrangers {
		if !e.letIn(all[3+i]) {
			t.Fatalf("%d is kept out", i)
		}
	}
	near, far := net.Pipe()
	defer far.Close()
	last := e.add(near)
	if e.letIn(last) {
		t.Error("one too many is let in")
	}
	all[5].Close()
	all[5].Close()
	if !e.letIn(last) || e.known != mostConns {
		t.Errorf("%d are known", e.known)
	}
}

// Bodies that can't be read are refused with their field.
func TestBody(t *testing.T) {
	for text, field := range map[string]string{
		`{"N":"x"}`: "N", `{"M":1}`: "M", `{"N":1} {}`: "", "\x00": "", "": "", `[]`: "",
	} {
		r, err := http.NewRequestWithContext(t.Context(), "PUT", "http://x/", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		var v struct{ N int }
		var p *Problem
		if err := Body(r, &v); !errors.As(err, &p) || p.Status != 400 || p.Field != field {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestDoorCheck(t *testing.T) {
	good := Door{Listen: "127.0.0.1:1", Certificate: "/c", Key: "/k", Token: []Token{{hash("x"), Read}}}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	if err := (&Door{}).Check(); err != nil {
		t.Error(err)
	}
	for field, change := range map[string]func(*Door){
		"unix":            func(d *Door) { d.Unix = "here" },
		"listen":          func(d *Door) { d.Listen = "" },
		"certificate":     func(d *Door) { d.Certificate = "" },
		"key":             func(d *Door) { d.Key = "" },
		"token":           func(d *Door) { d.Token = nil },
		"token[0].role":   func(d *Door) { d.Token = []Token{{hash("x"), Nobody}} },
		"token[0].sha256": func(d *Door) { d.Token = []Token{{"x", Read}} },
		"clients":         func(d *Door) { d.Client = []Client{{"ops", Read}} },
		"client[0].name":  func(d *Door) { d.Client = []Client{{"", Read}} },
		"client[0].role":  func(d *Door) { d.Client = []Client{{"ops", Nobody}} },
	} {
		d := good
		change(&d)
		var f *FieldError
		if err := d.Check(); !errors.As(err, &f) || f.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
	missing := good
	if _, err := missing.Open(); err == nil || !strings.Contains(err.Error(), "certificate") {
		t.Errorf("without its files: %v", err)
	}
}
