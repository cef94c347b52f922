package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	mostAnswer  = 64 << 20 // bytes of an answer that are read
	dialTimeout = 2 * time.Second
	keepIdle    = 25 * time.Second // less than servers keep idle connections
)

// Credentials are what a program shows who asks who it is, and whom it believes, as an operators' file has it.
type Credentials struct {
	CA          string // path of the PEM file of those that sign servers' certificates
	Certificate string // path of the PEM file of the program's own certificate, if it comes with one
	Key         string
	TokenFile   string `toml:"token_file"` // path of the file that holds its token, if it comes with one
}

// Check says what is wrong with the settings. Its error is a *FieldError. Files are not opened.
func (c *Credentials) Check() error {
	for field, path := range map[string]string{"ca": c.CA, "certificate": c.Certificate, "key": c.Key, "token_file": c.TokenFile} {
		if path != "" && !filepath.IsAbs(path) {
			return &FieldError{field, fmt.Sprintf("%q is no absolute path", path)}
		}
	}
	if (c.Certificate == "") != (c.Key == "") {
		return &FieldError{"key", "a certificate and its key go together"}
	}
	return nil
}

// load reads the files.
func (c *Credentials) load() (cfg *tls.Config, token string, err error) {
	cfg = &tls.Config{MinVersion: tls.VersionTLS13}
	if c.CA != "" {
		if cfg.RootCAs, err = pool(c.CA); err != nil {
			return nil, "", &FieldError{"ca", err.Error()}
		}
	}
	if c.Certificate != "" {
		cert, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
		if err != nil {
			return nil, "", &FieldError{"certificate", err.Error()}
		}
		cfg.Certificates = []tls.Certificate{cert}
	}
	if c.TokenFile != "" {
		text, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return nil, "", &FieldError{"token_file", err.Error()}
		}
		token = strings.TrimSpace(string(text))
	}
	return cfg, token, nil
}

// Address is where an interface is: a Unix socket, or host and port with TLS. Its server must have a certificate for
// Name, so that none can stand for another.
type Address struct {
	Name string
	Unix string
	Addr string
}

// Check says what is wrong with an address. Its error is a *FieldError.
func (a *Address) Check() error {
	if !validName(a.Name) {
		return &FieldError{"name", fmt.Sprintf("%.80q is not 1 to 200 letters, digits, dots and hyphens", a.Name)}
	}
	switch {
	case (a.Unix == "") == (a.Addr == ""):
		return &FieldError{"addr", "there must be either unix or addr"}
	case a.Unix != "" && !filepath.IsAbs(a.Unix):
		return &FieldError{"unix", fmt.Sprintf("%q is no absolute path", a.Unix)}
	case a.Addr != "":
		if _, err := netip.ParseAddrPort(a.Addr); err != nil {
			return &FieldError{"addr", err.Error()}
		}
	}
	return nil
}

// validName says whether a name can stand in a certificate and a URL.
func validName(name string) bool {
	ok := len(name) > 0 && len(name) <= 200
	for _, c := range []byte(name) {
		ok = ok && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_')
	}
	return ok
}

// Dialer opens connections to interfaces, all with the same credentials. It keeps one idle connection to each.
type Dialer struct {
	transport http.Transport
	token     string
}

type addressKey struct{}

// NewDialer reads the credentials' files.
func NewDialer(c Credentials) (*Dialer, error) {
	cfg, token, err := c.load()
	if err != nil {
		return nil, err
	}
	var d net.Dialer
	return NewDialerOver(cfg, token, d.DialContext), nil
}

// NewDialerOver has connections made by a function.
func NewDialerOver(cfg *tls.Config, token string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Dialer {
	d := &Dialer{token: token}
	connect := func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout) // the transport's own outlasts the request
		defer cancel()
		a, _ := ctx.Value(addressKey{}).(*Address)
		if a.Unix != "" {
			return dial(ctx, "unix", a.Unix)
		}
		return dial(ctx, "tcp", a.Addr)
	}
	d.transport = http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return connect(ctx) },
		DialTLSContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			a, _ := ctx.Value(addressKey{}).(*Address)
			raw, err := connect(ctx)
			if err != nil {
				return nil, err
			}
			own := cfg.Clone()
			own.ServerName = a.Name
			c := tls.Client(raw, own)
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			if err := c.HandshakeContext(ctx); err != nil {
				raw.Close()
				return nil, err
			}
			return c, nil
		},
		MaxIdleConnsPerHost: 1, IdleConnTimeout: keepIdle, ResponseHeaderTimeout: AnswerTimeout + time.Second, DisableCompression: true,
		ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10, // there may be thousands
	}
	return d
}

// Close closes the idle connections.
func (d *Dialer) Close() { d.transport.CloseIdleConnections() }

// At returns a caller of the interface at an address.
func (d *Dialer) At(a Address) *Caller { return &Caller{d, a, false} }

// Fresh returns a caller whose every request has a connection of its own.
func (d *Dialer) Fresh(a Address) *Caller { return &Caller{d, a, true} }

// Caller makes requests to one interface.
type Caller struct {
	dialer *Dialer
	addr   Address
	fresh  bool
}

// Open makes a request and returns its answer, whose body the caller closes. A refusal is a *Problem.
func (c *Caller) Open(ctx context.Context, method, path string, header http.Header, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	// The host tells the transport whose idle connections it may use, so it names the address too.
	url := "https://" + c.addr.Name + "." + strings.NewReplacer(":", "-", "[", "", "]", "").Replace(c.addr.Addr) + "/v1/" + path
	if c.addr.Unix != "" {
		url = fmt.Sprintf("http://%s.%x/v1/%s", c.addr.Name, c.addr.Unix, path)
	}
	req, err := http.NewRequestWithContext(context.WithValue(ctx, addressKey{}, &c.addr), method, url, body)
	if err != nil {
		return nil, err
	}
	if c.fresh {
		// Under another host there is no idle connection that it could use, and it leaves none.
		req.URL.Host += ".fresh"
		req.Close = true
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.dialer.token != "" && c.addr.Unix == "" {
		req.Header.Set("Authorization", "Bearer "+c.dialer.token)
	}
	resp, err := c.dialer.transport.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", c.addr.Name, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		p := &Problem{Status: resp.StatusCode, Title: resp.Status}
		json.NewDecoder(io.LimitReader(resp.Body, mostAnswer)).Decode(p) // what is no problem document leaves the status
		return nil, p
	}
	return resp, nil
}

// Call makes a request and reads its answer into out.
func (c *Caller) Call(ctx context.Context, method, path string, header http.Header, in, out any) error {
	resp, err := c.Open(ctx, method, path, header, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, mostAnswer)).Decode(out); err != nil {
		return fmt.Errorf("the answer of %s: %w", c.addr.Name, err)
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096)) // so that the connection can be used again
	return nil
}
