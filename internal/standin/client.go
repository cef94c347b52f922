package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/standin/network"
)

// Class is one kind of request that clients make.
type Class struct {
	Name     string
	Share    float64
	Aim      time.Duration
	Deadline time.Duration // over all tries
	Work     time.Duration // mean, on a standard core
	Spread   float64       // of the work, the sigma of a lognormal distribution; 0 for none
	Body     int           // bytes of a request's, about
	Answer   int           // bytes of an answer's that is asked for
	rules.Class
}

// Account is one who asks, with its share of the requests.
type Account struct {
	Name  string
	Share float64
}

// ClientConfig is what the clients of one agent are like.
type ClientConfig struct {
	Name     string // of the clients, which their calls' ids begin with
	Doors    []Door // the agent that they ask, and those that they turn to when it can't be reached
	Classes  []Class
	Accounts []Account
	Retries  int           // tries after the first
	Backoff  time.Duration // before the next try, doubled each time, where nothing is advised
	TryShare float64       // of the deadline that one try is given at most
	Honour   float64       // share that waits as Retry-After says
	HangUp   float64       // share of tries that the client leaves before their time
	Rude     float64       // rude requests for each proper one
	Slack    time.Duration // after its time that an answer is still waited for
	Most     int           // operations under way at once; more are not begun and are counted as failed
}

// Door is where an agent takes requests.
type Door struct {
	Agent string // its name
	Addr  string
}

// homeAgain is how long clients that have turned to another agent leave their own alone.
const homeAgain = 2 * time.Second

// Tally counts operations by how they ended, and how long the served ones took.
type Tally struct {
	Requests, Served, InAim, Refused, Failed, HungUp int

	Tries, Retries, RudeAsked, RudeUnanswered int
}

// Clients make requests of one agent.
type Clients struct {
	cfg ClientConfig
	net *network.Dialer
	log *Log

	mu     sync.Mutex
	rng    *rand.Rand
	rate   float64            // operations a second
	extra  map[string]float64 // accounts that ask more than their share, and by how much
	alone  bool               // they open no connection
	idle   []*clientConn
	asked  int
	tally  Tally
	took   []time.Duration // of the served since the last Take
	active sync.WaitGroup
	under  int
	door   int       // the agent that they ask now
	away   time.Time // since when it is not their own
}

// NewClients returns clients that are not asking yet.
func NewClients(cfg ClientConfig, n *network.Network, log *Log, seed uint64) *Clients {
	return &Clients{
		cfg: cfg, net: n.From(cfg.Name), log: log, rng: rand.New(rand.NewPCG(seed, 4)), extra: map[string]float64{},
	}
}

// SetRate sets how many operations begin in a second, in the mean.
func (c *Clients) SetRate(perSecond float64) {
	c.mu.Lock()
	c.rate = perSecond
	c.mu.Unlock()
}

// SetFlood has an account ask so many times as much as usual; 1 is usual.
func (c *Clients) SetFlood(account string, times float64) {
	c.mu.Lock()
	c.extra[account] = times
	c.mu.Unlock()
}

// SetHangUp sets the share of tries that clients leave before their time.
func (c *Clients) SetHangUp(share float64) {
	c.mu.Lock()
	c.cfg.HangUp = share
	c.mu.Unlock()
}

// SetConnecting says whether the clients open connections. Those that they have they go on using.
func (c *Clients) SetConnecting(on bool) {
	c.mu.Lock()
	c.alone = !on
	c.mu.Unlock()
}

// SetRude sets how many rude requests come with each proper one.
func (c *Clients) SetRude(times float64) {
	c.mu.Lock()
	c.cfg.Rude = times
	c.mu.Unlock()
}

// Take returns the counts so far and the served ones' times since the last call.
func (c *Clients) Take() (Tally, []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := c.took
	c.took = nil
	return c.tally, took
}

// idleStep is how long clients that have nothing to ask wait before they look again.
const idleStep = 50 * time.Millisecond

// Run begins operations until the context ends, and returns when the last of them has ended.
func (c *Clients) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		wait, total := idleStep, c.totalRate()
		ask := false
		if total > 0 {
			gap := time.Duration(c.rng.ExpFloat64() / total * float64(time.Second))
			if ask = gap < time.Second; ask {
				wait = gap
			}
		}
		c.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			ask = false
		}
		if ask {
			c.begin()
		}
	}
	c.active.Wait()
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, k := range idle {
		c.discard(k)
	}
}

// totalRate is the rate with what accounts ask beyond their shares. The mutex is held.
func (c *Clients) totalRate() float64 {
	sum := 0.0
	for _, a := range c.cfg.Accounts {
		sum += a.Share * c.times(a.Name)
	}
	return c.rate * sum
}

func (c *Clients) times(account string) float64 {
	if t, ok := c.extra[account]; ok {
		return t
	}
	return 1
}

// operation is what a client wants.
type operation struct {
	id      string
	class   *Class
	account string
	work    time.Duration
	began   time.Time
}

func (c *Clients) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	o := &operation{id: fmt.Sprintf("%s-%d", c.cfg.Name, c.asked), began: time.Now()}
	u := c.rng.Float64()
	for i := range c.cfg.Classes {
		o.class = &c.cfg.Classes[i]
		if u -= o.class.Share; u < 0 {
			break
		}
	}
	sum := c.totalRate() / c.rate * c.rng.Float64()
	for _, a := range c.cfg.Accounts {
		o.account = a.Name
		if sum -= a.Share * c.times(a.Name); sum < 0 {
			break
		}
	}
	s := o.class.Spread
	o.work = time.Duration(float64(o.class.Work) * math.Exp(s*c.rng.NormFloat64()-s*s/2))
	rude := c.rng.Float64() < c.cfg.Rude
	c.tally.Requests++
	if c.under >= c.cfg.Most {
		c.tally.Failed++
		return
	}
	c.under++
	c.active.Go(func() {
		c.do(o)
		c.mu.Lock()
		c.under--
		c.mu.Unlock()
	})
	if rude {
		c.active.Go(c.beRude)
	}
}

// ending is how a try ended.
type ending uint8

const (
	served ending = iota
	refused
	failed
	hungUp
	unreachable // the agent has not taken it
)

// do tries until the operation is served, or it may not or need not be tried again.
func (c *Clients) do(o *operation) {
	deadline := o.began.Add(o.class.Deadline)
	for try := 0; ; try++ {
		budget := min(time.Until(deadline), time.Duration(c.cfg.TryShare*float64(o.class.Deadline)))
		how, advice := c.try(o, try, budget)
		c.mu.Lock()
		wait := min(c.cfg.Backoff<<min(try, 10), time.Second)
		wait = wait/2 + time.Duration(c.rng.Int64N(int64(wait)+1))
		if advice > 0 && c.rng.Float64() < c.cfg.Honour {
			wait = advice
		}
		again := try < c.cfg.Retries && o.mayRepeat(how, wait) && time.Until(deadline) > wait+o.class.Work
		if !again {
			c.count(o, how)
		} else {
			c.tally.Retries++
		}
		c.mu.Unlock()
		if !again {
			return
		}
		time.Sleep(wait)
	}
}

// mayRepeat says whether the client may try again on its own account, after a wait.
func (o *operation) mayRepeat(after ending, wait time.Duration) bool {
	remembered := o.class.Effect == rules.Keyed && o.class.Scope == rules.All && time.Since(o.began)+wait < o.class.Window
	switch after {
	case refused:
		return o.class.Effect != rules.Keyed || o.class.Scope != rules.All || remembered
	case unreachable:
		return true
	case failed:
		return o.class.Effect == rules.Safe || remembered
	}
	return false
}

// count takes the end of an operation down. The mutex is held.
func (c *Clients) count(o *operation, how ending) {
	took := time.Since(o.began)
	switch how {
	case served:
		c.tally.Served++
		if took <= o.class.Aim {
			c.tally.InAim++
		}
		if len(c.took) < 1<<20 {
			c.took = append(c.took, took)
		}
	case refused:
		c.tally.Refused++
	case hungUp:
		c.tally.HungUp++
	default:
		c.tally.Failed++
	}
}

// try makes one request and waits for its answer.
func (c *Clients) try(o *operation, try int, budget time.Duration) (how ending, advice time.Duration) {
	if budget <= 0 {
		return failed, 0
	}
	call, door := fmt.Sprintf("%s.%d", o.id, try), c.at()
	rec := rules.Record{Agent: c.cfg.Doors[door].Agent, Call: call, Operation: o.id, Class: o.class.Name, Budget: budget}
	note := func(k rules.Kind) {
		rec.Kind = k
		c.log.Add(rec)
	}
	sent := time.Now()
	due := sent.Add(budget + c.cfg.Slack)
	by := due
	c.mu.Lock()
	c.tally.Tries++
	leaves := c.rng.Float64() < c.cfg.HangUp
	if leaves {
		by = sent.Add(time.Duration(c.rng.Float64() * float64(budget)))
	}
	c.mu.Unlock()
	text := request(o, call, try, budget)
	for again := false; ; again = true {
		k, kept, err := c.conn(door, by)
		if err != nil {
			c.leave(door)
			if again { // taken by the first connection, whose end is noted
				return failed, 0
			}
			return unreachable, 0
		}
		k.call = call
		note(rules.Asked)
		k.SetDeadline(by)
		resp, body, err := k.exchange(text)
		switch {
		case err == nil:
			rec.Status, rec.Body = resp.StatusCode, body
			note(rules.Answered)
			k.SetDeadline(time.Time{})
			if resp.Close {
				c.discard(k)
			} else {
				c.keep(k)
			}
			return meaning(resp)
		case errors.Is(err, errNotTaken):
			note(rules.Withdrawn)
			k.Close()
			if kept && !again {
				continue
			}
			return unreachable, 0
		case isTimeout(err) && leaves:
			note(rules.HungUp)
			k.Close()
			return hungUp, 0
		case isTimeout(err):
			note(rules.GaveUp)
			k.Close()
			c.leave(door)
			return failed, 0
		default:
			rec.Kept = kept
			note(rules.Broken)
			k.Close()
			if again {
				return failed, 0
			}
		}
	}
}

// errAlone says that there is no connection and none may be opened.
var errAlone = errors.New("no connections are opened")

// errNotTaken says that a request was not written to its last byte.
var errNotTaken = errors.New("not written whole")

// request is what a client writes. The work stands in the query, which goes on unchanged.
func request(o *operation, call string, try int, budget time.Duration) string {
	var b strings.Builder
	method, body := "POST", "of "+o.id
	if o.class.Effect == rules.Safe {
		method, body = "GET", ""
	}
	body, answer := fill(body, o.class.Body), ""
	if o.class.Answer > 0 {
		answer = fmt.Sprintf("&answer=%d", o.class.Answer)
	}
	fmt.Fprintf(&b, "%s /%s/%s?work=%d%s HTTP/1.1\r\nHost: service.internal\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %du\r\n",
		method, o.class.Name, o.id, o.work.Microseconds(), answer, callIDHeader, call, classHeader, o.class.Name,
		tenantHeader, o.account, budgetHeader, budget.Microseconds())
	if o.class.Effect == rules.Keyed {
		fmt.Fprintf(&b, "%s: key-%s\r\n", idempotencyHeader, o.id)
	}
	if try > 0 {
		fmt.Fprintf(&b, "%s: 1\r\n", againHeader)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// rudeness is what rude clients send; none of it may reach a backend.
var rudeness = []string{
	"\x00\x01\x02\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 64<<10),
	"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: x\r\nX-Call-Class: nobody\r\nX-Call-Id: rude\r\nX-Budget: 100m\r\nContent-Length: 0\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"POST /x HTTP/1.1\r\nHost: x\r\nX-Call-Id: rude\r\nContent-Length: 0\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf",
	"",
}

// rudePatience is how long a rude client waits for an error or a close, one of which it is owed.
const rudePatience = 3 * time.Second

func (c *Clients) beRude() {
	c.mu.Lock()
	if c.alone {
		c.mu.Unlock()
		return
	}
	text := rudeness[c.rng.IntN(len(rudeness))]
	c.tally.RudeAsked++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), rudePatience)
	defer cancel()
	k, err := c.net.Dial(ctx, c.cfg.Doors[0].Addr)
	if err != nil {
		return
	}
	defer k.Close()
	k.SetDeadline(time.Now().Add(rudePatience))
	io.WriteString(k, text) // it does not care
	resp, err := http.ReadResponse(bufio.NewReader(k), nil)
	if err == nil && resp.StatusCode < 400 || err != nil && isTimeout(err) {
		c.mu.Lock()
		c.tally.RudeUnanswered++
		c.mu.Unlock()
	}
}
