package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Role is what somebody may do.
type Role uint8

// The roles.
const (
	Nobody   Role = iota
	Announce      // an instance, to a manager: say where it is
	Member        // a manager, to another of its group: agree
	Hold          // an agent, to a group of managers: hold duties
	Read
	Change // and read
	owner  // of a Unix socket, which nobody else can open: everything; no file gives this role
)

var roleNames = [...]string{Nobody: "nobody", Announce: "announce", Member: "member", Hold: "hold", Read: "read", Change: "change", owner: "owner"}

func (r Role) String() string { return roleNames[r] }

// UnmarshalText reads a role's name.
func (r *Role) UnmarshalText(text []byte) error {
	i := slices.Index(roleNames[:owner], string(text))
	if i <= 0 {
		return fmt.Errorf("%q is no role: they are announce, member, hold, read and change", text)
	}
	*r = Role(i)
	return nil
}

// may says whether a role is enough for what needs another.
func (r Role) may(need Role) bool {
	return r == need || r == owner || r == Change && need == Read
}

// Door says where an interface listens and who may come in, as an operators' file has it.
type Door struct {
	Unix string // path of a socket, which is its owner's alone, and who may do everything

	Listen      string // host and port, with TLS
	Certificate string // path of the PEM file of the server's certificate
	Key         string // and of its key
	Clients     string // path of the PEM file of those that sign clients' certificates; "" for tokens only

	Token  []Token  // who comes with a token
	Client []Client // who comes with a certificate
}

// Token lets in who knows it. The file has its hash only.
type Token struct {
	SHA256 string // hexadecimal
	Role   Role
}

// Client lets in who has a certificate for this name (common name or DNS name).
type Client struct {
	Name string
	Role Role
}

// FieldError is what is wrong with a setting.
type FieldError struct {
	Field string // such as token[1].sha256
	What  string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.What }

// Check says what is wrong with the settings. Its error is a *FieldError. Files are not opened.
func (d *Door) Check() error {
	for field, path := range map[string]string{"unix": d.Unix, "certificate": d.Certificate, "key": d.Key, "clients": d.Clients} {
		if path != "" && !filepath.IsAbs(path) {
			return &FieldError{field, fmt.Sprintf("%q is no absolute path", path)}
		}
	}
	for i, t := range d.Token {
		if b, err := hex.DecodeString(t.SHA256); err != nil || len(b) != sha256.Size {
			return &FieldError{fmt.Sprintf("token[%d].sha256", i), "it is not 64 hexadecimal digits"}
		}
		if t.Role == Nobody {
			return &FieldError{fmt.Sprintf("token[%d].role", i), "missing"}
		}
	}
	for i, c := range d.Client {
		if c.Name == "" {
			return &FieldError{fmt.Sprintf("client[%d].name", i), "missing"}
		}
		if c.Role == Nobody {
			return &FieldError{fmt.Sprintf("client[%d].role", i), "missing"}
		}
	}
	if d.Listen == "" {
		if d.Certificate != "" || d.Key != "" || d.Clients != "" || len(d.Token) > 0 || len(d.Client) > 0 {
			return &FieldError{"listen", "missing"}
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(d.Listen); err != nil {
		return &FieldError{"listen", err.Error()}
	}
	switch {
	case d.Certificate == "":
		return &FieldError{"certificate", "missing"}
	case d.Key == "":
		return &FieldError{"key", "missing"}
	case len(d.Client) > 0 && d.Clients == "":
		return &FieldError{"clients", "missing: nobody signs the certificates of those in client"}
	case len(d.Token) == 0 && len(d.Client) == 0:
		return &FieldError{"token", "nobody may come in: there is neither a token nor a client"}
	}
	return nil
}

// Open opens the listeners. Its errors name the field.
func (d *Door) Open() (listeners []net.Listener, err error) {
	defer func() {
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
		}
	}()
	if d.Unix != "" {
		l, err := listenUnix(d.Unix)
		if err != nil {
			return nil, &FieldError{"unix", err.Error()}
		}
		listeners = append(listeners, l)
	}
	if d.Listen == "" {
		return listeners, nil
	}
	cert, err := tls.LoadX509KeyPair(d.Certificate, d.Key)
	if err != nil {
		return listeners, &FieldError{"certificate", err.Error()}
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}}
	if d.Clients != "" {
		if cfg.ClientCAs, err = pool(d.Clients); err != nil {
			return listeners, &FieldError{"clients", err.Error()}
		}
		cfg.ClientAuth = tls.VerifyClientCertIfGiven
	}
	l, err := net.Listen("tcp", d.Listen)
	if err != nil {
		return listeners, &FieldError{"listen", err.Error()}
	}
	return append(listeners, &tlsListener{l, cfg}), nil
}

// listenUnix listens at a socket that only its owner can open. A socket that an earlier process has left there is in the
// way and goes.
func listenUnix(path string) (net.Listener, error) {
	if old, err := os.Lstat(path); err == nil && old.Mode().Type() == os.ModeSocket {
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	before := syscall.Umask(0o177) // no moment at which others could open it
	defer syscall.Umask(before)
	return net.Listen("unix", path)
}

func pool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s holds no certificate", path)
	}
	return p, nil
}

// tlsListener is a listener whose connections a Server wraps in TLS itself, behind its own bounds.
type tlsListener struct {
	net.Listener
	config *tls.Config
}

type connKey struct{}

// role is that of who has sent a request.
func (d *Door) role(r *http.Request) Role {
	if r.TLS == nil {
		return owner // it came through the socket
	}
	best := Nobody
	if len(r.TLS.VerifiedChains) > 0 {
		cert := r.TLS.VerifiedChains[0][0]
		for _, c := range d.Client {
			if cert.Subject.CommonName == c.Name || slices.Contains(cert.DNSNames, c.Name) {
				best = max(best, c.Role)
			}
		}
	}
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		sum := sha256.Sum256([]byte(token))
		for _, t := range d.Token {
			want, _ := hex.DecodeString(t.SHA256) // as Check has found
			if subtle.ConstantTimeCompare(sum[:], want) == 1 {
				best = max(best, t.Role)
			}
		}
	}
	return best
}

const (
	// mostStrangers is how many connections there may be of which nobody knows yet whose they are. One more has the
	// oldest of them closed: those that say nothing never keep out one that speaks.
	mostStrangers = 64
	mostConns     = 64 // of those that were let in
	headTimeout   = 2 * time.Second
	idleTimeout   = 30 * time.Second
	maxHeader     = 16 << 10
)

// Server serves an interface.
type Server struct {
	door    *Door
	need    func(*http.Request) Role
	http    http.Server
	entries entries
}

// NewServer returns a server that is not serving yet. What a request needs its role for, need says.
func NewServer(door *Door, handler http.Handler, need func(*http.Request) Role) *Server {
	s := &Server{door: door, need: need}
	s.http = http.Server{
		Handler: s.guard(handler), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: quiet, // strangers may come as they like, and must not fill the log
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if t, ok := c.(*tls.Conn); ok {
				c = t.NetConn()
			}
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

// guard lets in whose role is enough.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		need, role := s.need(r), s.door.role(r)
		switch {
		case role == Nobody:
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.Header().Set("Connection", "close")
			(&Problem{http.StatusUnauthorized, "who are you", "neither a known token nor the certificate of a known client", "", ""}).Write(w)
			return
		case !role.may(need):
			(&Problem{http.StatusForbidden, "you may not", fmt.Sprintf("it takes the role %s, and yours is %s", need, role), "", ""}).Write(w)
			return
		}
		if c, ok := r.Context().Value(connKey{}).(*entry); ok && !s.entries.letIn(c) {
			(&Problem{http.StatusServiceUnavailable, "too many connections", fmt.Sprintf("%d are open", mostConns), "", ""}).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Serve serves at a listener until Close. It closes the listener.
func (s *Server) Serve(l net.Listener) error {
	var at net.Listener = &lobby{Listener: l, entries: &s.entries}
	if t, ok := l.(*tlsListener); ok {
		at = tls.NewListener(&lobby{Listener: t.Listener, entries: &s.entries}, t.config)
	}
	err := s.http.Serve(at)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends all service.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown ends service in order: no connection is taken any more, and what is in hand is answered, as
// far as that is done within a time.
func (s *Server) Shutdown(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	return s.http.Close()
}
