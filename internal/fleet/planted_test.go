package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/policy"
)

// bug is what a planted agent does wrong.
type bug string

const (
	none             bug = "nothing"
	repeatsUnsafe    bug = "repeats an unsafe request after a reset"
	leavesCell       bug = "repeats a keyed request outside its cell"
	repeatsLate      bug = "repeats a keyed request after its window"
	copiesUnsafe     bug = "sends two copies of an unsafe request at once"
	refusesWhatRan   bug = "refuses what may have run"
	answersTwice     bug = "answers twice"
	ignoresDrains    bug = "sends to a backend that drains"
	closesOnShutdown bug = "loses requests on shutdown"
	swapsBodies      bug = "serves another request's body"
	invents          bug = "serves an answer that nobody made"
	passesOnHalf     bug = "serves a cut answer as a whole one"
	waitsForEver     bug = "waits for an answer past the deadline"
	sendsAfterAnswer bug = "sends a request on after answering it"
	sendsAfterHangUp bug = "sends a request on after its client has gone"
	closesOnFailure  bug = "closes the connection on a failure"
	stopsFollowing   bug = "asks for the list once"
	pushesTheNewest  bug = "sends all to the backend that started last"
)

// planted is a small agent without decisions: a request goes to the next backend, once. What it does wrong is chosen.
type planted struct {
	bug bug
	cfg *agent.Config
	net agent.Network

	mu      sync.Mutex
	members map[string]plantedMember
	turn    int
	last    []byte // the last answer served
}

type plantedMember struct {
	ID      string
	Addr    string `json:"host_port"`
	Cell    int
	Phase   string
	UpSince float64 `json:"up_since_ms"`
}

func plant(b bug) Front {
	return func(ctx context.Context, cfg *agent.Config, _ <-chan *agent.Config, l net.Listener, n agent.Network, _ *slog.Logger) error {
		p := &planted{bug: b, cfg: cfg, net: n, members: map[string]plantedMember{}}
		var following sync.WaitGroup
		work, stop := context.WithCancel(context.Background())
		following.Go(func() { p.follow(work) })
		defer following.Wait()
		defer stop()
		s := &http.Server{Handler: p, ReadTimeout: time.Second, IdleTimeout: 2 * time.Second}
		go func() {
			<-ctx.Done()
			if b == closesOnShutdown {
				s.Close()
				return
			}
			last, cancel := context.WithTimeout(work, 4*time.Second)
			defer cancel()
			s.Shutdown(last)
			s.Close()
			stop()
		}()
		s.Serve(l)
		<-ctx.Done()
		if b != closesOnShutdown {
			<-work.Done() // all that was taken is answered
		}
		time.Sleep(time.Second) // what a bug does behind an answer ends by itself
		return nil
	}
}

// follow keeps the list by asking for the whole of it, again and again.
func (p *planted) follow(ctx context.Context) {
	for ctx.Err() == nil {
		text, err := p.ask(ctx, p.cfg.Discovery, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", time.Second)
		var list struct{ Members []plantedMember }
		if err == nil && json.Unmarshal(text.body, &list) == nil && len(list.Members) > 0 {
			p.mu.Lock()
			for id := range p.members {
				if p.bug != ignoresDrains && !slices.ContainsFunc(list.Members, func(m plantedMember) bool { return m.ID == id }) {
					delete(p.members, id)
				}
			}
			for _, m := range list.Members {
				if m.Addr != "" && m.Addr != "nowhere" {
					p.members[m.ID] = m
				}
			}
			p.mu.Unlock()
		}
		if p.bug == stopsFollowing && err == nil {
			return
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// reply is what came back, or how far it got.
type reply struct {
	status   int
	rejected bool
	body     []byte
	written  bool
}

func (p *planted) ask(ctx context.Context, addr, text string, within time.Duration) (r reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := p.net.Dial(ctx, addr)
	if err != nil {
		return r, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := io.WriteString(c, text); err != nil {
		return r, err
	}
	r.written = true
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != 101 {
		resp, err = http.ReadResponse(bufio.NewReader(io.MultiReader(resp.Body, c)), nil)
	}
	if err != nil {
		return r, err
	}
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	r.status, r.rejected = resp.StatusCode, resp.Header.Get("X-Rejected") == "1"
	r.body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	return r, err
}

// pick takes the next backend, from a cell or outside it if one is given.
func (p *planted) pick(fits func(plantedMember) bool) (plantedMember, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []plantedMember
	for _, m := range p.members {
		if (m.Phase == "Ready" || p.bug == ignoresDrains) && fits(m) {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return plantedMember{}, false
	}
	slices.SortFunc(all, func(a, b plantedMember) int { return strings.Compare(a.ID, b.ID) })
	if p.bug == pushesTheNewest {
		return slices.MaxFunc(all, func(a, b plantedMember) int { return int(a.UpSince - b.UpSince) }), true
	}
	p.turn++
	return all[p.turn%len(all)], true
}

func (p *planted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class := slices.Index(p.cfg.Settings.Classes, r.Header.Get("X-Call-Class"))
	budget, err := time.ParseDuration(strings.TrimSuffix(r.Header.Get("X-Budget"), "u") + "us")
	if class < 0 || err != nil || r.Header.Get("X-Call-Id") == "" || len(r.TransferEncoding) > 0 {
		http.Error(w, "bad request", 400)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", r.Method, r.RequestURI, len(body))
	r.Header.Del("Content-Length")
	r.Header.Write(&text)
	fmt.Fprintf(&text, "\r\n%s", body)

	effect := p.cfg.Settings.Module.Classes[class].Effect
	within, ctx := budget-20*time.Millisecond, r.Context()
	if p.bug == waitsForEver {
		within = time.Hour
	}
	any := func(plantedMember) bool { return true }
	to, ok := p.pick(any)
	if !ok {
		w.WriteHeader(503)
		return
	}
	send := func(ctx context.Context, m plantedMember) (reply, error) {
		return p.ask(ctx, m.Addr, text.String(), within)
	}
	switch p.bug {
	case sendsAfterAnswer:
		w.WriteHeader(503)
		http.NewResponseController(w).Flush()
		time.Sleep(200 * time.Millisecond)
		send(context.Background(), to)
		return
	case sendsAfterHangUp:
		select {
		case <-r.Context().Done():
			time.Sleep(200 * time.Millisecond)
			send(context.Background(), to)
			panic(http.ErrAbortHandler)
		case <-time.After(100 * time.Millisecond):
		}
	case copiesUnsafe:
		if other, ok := p.pick(func(m plantedMember) bool { return m.ID != to.ID }); ok && effect == policy.SideEffect {
			both, cancel := context.WithCancel(ctx)
			defer cancel()
			go send(both, other)
		}
	}
	a, err := send(ctx, to)
	if failed := err != nil || a.status != 200 && !a.rejected; failed && a.written && ctx.Err() == nil {
		again, waits := any, time.Duration(0)
		switch {
		case p.bug == repeatsUnsafe && effect == policy.SideEffect:
		case p.bug == leavesCell && effect == policy.Keyed:
			again = func(m plantedMember) bool { return m.Cell != to.Cell }
		case p.bug == repeatsLate && effect == policy.Keyed:
			again, waits = func(m plantedMember) bool { return m.ID == to.ID }, 250*time.Millisecond
		default:
			again = nil
		}
		if again != nil {
			time.Sleep(waits)
			if to, ok = p.pick(again); ok {
				a, err = send(ctx, to)
			}
		}
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	switch whole := err == nil && a.status == 200; {
	case whole, p.bug == passesOnHalf && a.status == 200 && len(a.body) > 0:
		body := a.body
		p.mu.Lock()
		if p.bug == swapsBodies && p.last != nil {
			body = p.last
		}
		p.last = a.body
		p.mu.Unlock()
		if p.bug == answersTwice {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				defer c.Close()
				one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				io.WriteString(c, one+one)
				time.Sleep(50 * time.Millisecond)
			}
			return
		}
		w.Write(body)
	case p.bug == invents:
		io.WriteString(w, "all is well")
	case p.bug == closesOnFailure:
		panic(http.ErrAbortHandler)
	case !a.written || a.rejected || effect == policy.Pure || p.bug == refusesWhatRan:
		w.WriteHeader(503)
	default:
		w.WriteHeader(502)
	}
}

// day is a shipped scenario with a change.
func day(t *testing.T, name, more string) *scenario.Scenario {
	t.Helper()
	for _, s := range scenario.Shipped() {
		if s.Name == name {
			return s
		}
	}
	s, err := scenario.Parse([]byte("name = \"" + name + "\"\n" + more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The checker names what each planted agent does wrong, and finds nothing against the same agent without the bug,
// nor against the true one.
func TestPlantedBugs(t *testing.T) {
	const shortWindow = "[[classes]]\nname='k'\nshare=1.0\naim='900ms'\ndeadline='1s'\nwork='30ms'\neffect='keyed'\nwindow='100ms'\n" +
		"[[fault]]\nkind='reset-answers'\nat='1s'\nfor='9s'\nshare=1.0\nsize=0.3\n"
	const oneCold = "load=[{at='0s',rate=45}]\n[[fault]]\nkind='restart'\nat='2s'\nfor='300ms'\ncount=1\n"
	const longDrain = "for='16s'\n[[fault]]\nkind='drain'\nat='1s'\nfor='12s'\nshare=0.5\n"
	const hangUps = "[clients]\nhang_up=0.3\n"
	for _, c := range []struct {
		bug       bug
		day, more string
		rule      rules.Rule
		what      string // of the finding
	}{
		{repeatsUnsafe, "mid-write-reset", "", rules.Twice, "it was sent again though it may have run"},
		{leavesCell, "mid-write-reset", "", rules.Twice, "it was sent again outside the group that drops its repeats"},
		{repeatsLate, "short-window", shortWindow, rules.Twice, "it was sent again when its repeats were no longer dropped"},
		{copiesUnsafe, "calm", "", rules.Twice, "it was sent again though it may have run"},
		{refusesWhatRan, "mid-write-reset", "", rules.Twice, "it was refused, which promises that it did not run, and it may have run"},
		{answersTwice, "calm", "", rules.Lost, "it was answered twice"},
		{ignoresDrains, "rolling-restart", "", rules.Drain, "sent"},
		{stopsFollowing, "long-drain", longDrain, rules.Drain, "sent"},
		{closesOnShutdown, "agent-churn", "", rules.Lost, "its connection ended without an answer"},
		{swapsBodies, "calm", "", rules.Lost, "it was served what no backend made for it"},
		{invents, "silent-nodes", "", rules.Lost, "it was served what no backend made for it"},
		{passesOnHalf, "spoilt-answers", "", rules.Lost, "it was served what no backend made for it"},
		{waitsForEver, "silent-nodes", "", rules.Lost, "it was not answered in time"},
		{sendsAfterAnswer, "calm", "", rules.Lost, "it was sent on after it had ended"},
		{sendsAfterHangUp, "hang-ups", hangUps, rules.Lost, "it was sent on after it had ended"},
		{closesOnFailure, "mid-write-reset", "", rules.Lost, "its connection ended without an answer"},
		{pushesTheNewest, "one-cold", oneCold, rules.Cold, "it was sent"},
	} {
		t.Run(string(c.bug), func(t *testing.T) {
			t.Parallel()
			s := day(t, c.day, c.more)
			r := virtual(t, s, 1, plant(c.bug))
			rule := r.Rules[c.rule]
			if !slices.ContainsFunc(rule.Findings, func(f rules.Finding) bool {
				return !f.CantTell && strings.HasPrefix(f.What, c.what) && len(f.Evidence) > 0
			}) {
				t.Errorf("%s: the checker does not say %q, but %+v", rule.Rule, c.what, r)
			}
			for what, front := range map[string]Front{"without the bug": plant(none), "the true agent": agent.Serve} {
				if r := virtual(t, s, 1, front); !r.Kept() || r.Served == 0 {
					t.Errorf("%s: %d served\n%s", what, r.Served, findings(r))
				}
			}
		})
	}
}

// A process that takes nothing over from the one before sends to backends that operators took out, and that is seen.
func TestAForgottenHoldIsSeen(t *testing.T) {
	forgets := func(ctx context.Context, cfg *agent.Config, reloads <-chan *agent.Config, l net.Listener, n agent.Network, log *slog.Logger) error {
		own := *cfg
		own.Handover = nil
		return agent.Serve(ctx, &own, reloads, l, n, log)
	}
	s := day(t, "upgraded", "")
	broken := 0
	for seed := uint64(1); seed <= 5 && broken == 0; seed++ {
		if r := virtual(t, s, seed, forgets); r != nil {
			broken += r.DrainsBroken
		}
	}
	if broken == 0 {
		t.Error("no drain was seen broken")
	}
}
