package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/agent"
)

// ReverseProxy is a Front: the standard library's reverse proxy over the backends that discovery calls ready, in
// turn, as one would set it up in an afternoon. It keeps clients' deadlines and knows nothing else of the protocol.
func ReverseProxy(ctx context.Context, cfg *agent.Config, reloads <-chan *agent.Config, l net.Listener, n agent.Network, log *slog.Logger) error {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, addr) }
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	list := &readyList{addr: cfg.Discovery, client: http.Client{Transport: &http.Transport{DialContext: dial}, Timeout: time.Second}}
	defer list.client.CloseIdleConnections()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var following sync.WaitGroup
	following.Go(func() { list.follow(work, reloads) })
	defer following.Wait()
	defer stop()

	proxy := &httputil.ReverseProxy{
		Transport: transport,
		Rewrite:   func(r *httputil.ProxyRequest) { r.Out.URL.Scheme, r.Out.URL.Host = "http", list.next() },
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			log.Debug("reverse proxy", "error", err)
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if us, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Budget"), "u")); err == nil {
				ctx, cancel := context.WithTimeout(r.Context(), time.Duration(us)*time.Microsecond)
				defer cancel()
				r = r.WithContext(ctx)
			}
			proxy.ServeHTTP(w, r)
		}),
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	last, cancel := context.WithTimeout(work, 5*time.Second)
	defer cancel()
	defer srv.Close()
	if err := srv.Shutdown(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// readyList asks discovery for its whole list twice a second and knows who is ready.
type readyList struct {
	addr   string
	client http.Client
	ready  atomic.Pointer[[]string]
	turn   atomic.Uint64
}

func (l *readyList) follow(ctx context.Context, reloads <-chan *agent.Config) {
	for {
		l.ask(ctx)
		select {
		case <-time.After(500 * time.Millisecond):
		case cfg := <-reloads:
			l.addr = cfg.Discovery
		case <-ctx.Done():
			return
		}
	}
}

func (l *readyList) ask(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.addr+"/discovery/hosts", nil)
	if err != nil {
		return
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var list struct {
		Members []struct {
			Addr  string `json:"host_port"`
			Phase string
		}
	}
	if json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&list) != nil || resp.StatusCode != http.StatusOK {
		return
	}
	var ready []string
	for _, m := range list.Members {
		if m.Phase == "Ready" {
			ready = append(ready, m.Addr)
		}
	}
	l.ready.Store(&ready)
}

// next is the address of the next ready backend. With none it is one that nobody listens at.
func (l *readyList) next() string {
	ready := l.ready.Load()
	if ready == nil || len(*ready) == 0 {
		return "127.0.0.1:0"
	}
	return (*ready)[l.turn.Add(1)%uint64(len(*ready))]
}
