package meshtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	deadline = giveUp + time.Second // that clients wait in all
	mostOut  = 64                   // operations under way at one agent
	mostTry  = 3

	routeTries = 2                       // of each route
	giveUp     = 2500 * time.Millisecond // of each route
	upload     = 32 << 10                // bytes of a body that is uploaded, at most
)

// kind is what clients ask for.
type kind struct {
	kind    Kind
	method  string
	path    string
	service int // index of the cluster's services
	share   float64
}

// innerKind is the one that backends call; clients don't.
const innerKind = 3

var kinds = [...]kind{
	{Safe, http.MethodGet, "/search/", 0, 0.6},
	{Unsafe, http.MethodPost, "/book/", 1, 0.3},
	{Upload, http.MethodPut, "/papers/", 2, 0.1},
	{Safe, http.MethodGet, "/status/", 1, 0},
}

// whole is the first configuration.
func (g *Cluster) whole() []Item {
	var items []Item
	for i := range kinds {
		items = append(items, g.Route(i, g.services[kinds[i].service%len(g.services)], 1))
	}
	for _, s := range g.services {
		items = append(items, Item{Kind: Services, Name: s, Version: version(1), Body: map[string]any{"health_path": healthPath,
			"max_conns": 120, "protocol": "h1", "tls": false, "warmup": "500ms", "warmup_per_s": 50}})
	}
	for i := range g.opt.Tenants {
		items = append(items, g.Tenant(i, 1))
	}
	return append(items, Item{Kind: Limits, Version: version(1), Body: map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20,
		"header_wait": "3000ms", "idle": "15000ms"}})
}

// Route is the item that sends what clients ask for to a service. The first of them is safe, the
// second unsafe.
func (g *Cluster) Route(which int, service string, v int) Item {
	k := kinds[which]
	return Item{Kind: Routes, Name: "r-" + k.path[1:len(k.path)-1], Version: version(v), Body: map[string]any{"domain": host,
		"path_start": k.path, "kind": string(k.kind), "give_up": fmt.Sprint(giveUp.Milliseconds(), "ms"), "target_time": "500ms", "rank": 1, "service": service, "tries": routeTries}}
}

// Services are the names of the services, of which the first is safe to ask.
func (g *Cluster) Services() []string { return slices.Clone(g.services) }

func version(v int) string { return fmt.Sprintf("%08x", v) }

// Counts are of operations: all tries of one are one.
type Counts struct {
	Sent, Served, Refused, Failed int
	Took                          []time.Duration // of those served
}

type tally struct {
	mu    sync.Mutex
	all   Counts
	since Counts
}

func (t *tally) add(f func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.all)
	f(&t.since)
}

// Counts are those from the beginning. Took is to be read only.
func (g *Cluster) Counts() Counts {
	g.tally.mu.Lock()
	defer g.tally.mu.Unlock()
	return g.tally.all
}

// Since are the counts since it was called last.
func (g *Cluster) Since() Counts {
	g.tally.mu.Lock()
	defer g.tally.mu.Unlock()
	c := g.tally.since
	g.tally.since = Counts{}
	return c
}

// Quantile is a time that a part of the served operations did not exceed.
func (c *Counts) Quantile(part float64) time.Duration {
	if len(c.Took) == 0 {
		return 0
	}
	took := slices.Sorted(slices.Values(c.Took))
	return took[min(len(took)-1, int(part*float64(len(took))))]
}

// clients are those of one machine.
type clients struct {
	g          *Cluster
	m          *Machine
	kept, anew *http.Client
	out        sync.WaitGroup
	room       chan struct{}
}

func newClients(g *Cluster, m *Machine) *clients {
	transport := func(anew bool) *http.Client {
		return &http.Client{Transport: &http.Transport{Proxy: nil, DisableCompression: true, DisableKeepAlives: anew, MaxIdleConnsPerHost: mostOut}}
	}
	return &clients{g: g, m: m, kept: transport(false), anew: transport(true), room: make(chan struct{}, mostOut)}
}

// run asks until the context ends, and for what is under way then until it has ended.
func (c *clients) run(ctx context.Context) {
	defer c.kept.CloseIdleConnections()
	defer c.out.Wait()
	for {
		wait := time.NewTimer(time.Duration(rand.ExpFloat64() / c.g.opt.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		if !c.m.in.Load() && !c.g.opt.Persistent {
			continue
		}
		select {
		case c.room <- struct{}{}:
			c.out.Go(func() {
				c.operate(pick(rand.Float64()))
				<-c.room
			})
		default: // bounded: who is that slow is not asked for more
		}
	}
}

func pick(at float64) *kind {
	for i := range kinds {
		if at -= kinds[i].share; at < 0 {
			return &kinds[i]
		}
	}
	return &kinds[0]
}

// operate has one thing done, in several tries if need be.
func (c *clients) operate(k *kind) {
	customer, key := c.g.pickKey()
	if c.g.opt.Tenants > 0 && customer == "" {
		c.stranger(k, key)
		return
	}
	c.g.tally.add(func(n *Counts) { n.Sent++ })
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	began, refused := time.Now(), false
	var body []byte
	if k.method != http.MethodGet {
		body = make([]byte, 1+rand.N(max(upload, c.g.opt.MostBody)))
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
	}
	for n, client := 0, c.kept; n < mostTry; n, client = n+1, c.anew {
		left := deadline - time.Since(began)
		t := &Try{ID: fmt.Sprintf("%016x", rand.Uint64()), Kind: k.kind, Machine: c.m.Name, Message: Message{Method: k.method, Host: host,
			URI: fmt.Sprintf("%s%x?n=%d", k.path, rand.Uint32(), n), Caller: c.m.Service, Customer: customer, Body: hash(body)}, key: key}
		one, giveUp := c.patience(ctx)
		a, after := c.g.send(one, client, c.m, t, body, left)
		giveUp()
		if a.Status/100 == 2 {
			took := time.Since(began)
			c.g.tally.add(func(n *Counts) { n.Served++; n.Took = append(n.Took, took) })
			return
		}
		refused = promises(a.Status)
		if k.kind != Safe && !refused || a.Status >= 400 && a.Status < 500 && !refused || ctx.Err() != nil {
			break
		}
		wait := time.NewTimer(min(after, (deadline-time.Since(began))/3))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
		}
	}
	c.g.tally.add(func(n *Counts) {
		if refused {
			n.Refused++
		} else {
			n.Failed++
		}
	})
}

// patience bounds one try: some are given up, and tried again at once if they may be.
func (c *clients) patience(ctx context.Context) (context.Context, context.CancelFunc) {
	if rand.Float64() < c.g.opt.GiveUp {
		return context.WithTimeout(ctx, rand.N(4*c.g.opt.Work))
	}
	return ctx, func() {}
}

// send sends one request to a machine's agent, and keeps what came of it.
func (g *Cluster) send(ctx context.Context, client *http.Client, m *Machine, t *Try, body []byte, left time.Duration) (a Answer, after time.Duration) {
	var content io.Reader
	if len(body) > 0 {
		if content = bytes.NewReader(body); body[0]%2 == 0 {
			content = struct{ io.Reader }{content} // without a length: it goes out in chunks
		}
	}
	r, err := http.NewRequestWithContext(ctx, t.Method, "http://"+m.reached(outboundPort)+t.URI, content)
	if err != nil {
		panic(err) // we made the address
	}
	r.Host = t.Host
	r.Header.Set(tryHeader, t.ID)
	r.Header.Set(leftHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	r.Header.Set(callerHeader, "whoever") // which the mesh sets right
	if t.key != "" {
		r.Header.Set("Authorization", "Bearer "+t.key)
		r.Header.Set(customerHeader, "whoever") // likewise
	}
	t.Within = max(left, time.Millisecond)
	if !g.record.sent(t) {
		return a, 0
	}
	resp, err := client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			a = Answer{Status: resp.StatusCode, Try: resp.Header.Get(tryHeader), Seal: resp.Header.Get(sealHeader), Length: len(text), Body: hash(text)}
			if s, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil && s > 0 {
				after = time.Duration(s * float64(time.Second))
			}
		}
	}
	if ctx.Err() != nil && a.Status == 0 {
		g.record.left(t)
	} else {
		g.record.ended(t, a, ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED))
	}
	return a, after
}
