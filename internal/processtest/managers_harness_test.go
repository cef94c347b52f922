package processtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/duty"
	"example.org/micaline/internal/manage"
	"example.org/micaline/internal/settings"
	"example.org/micaline/internal/standin/network"
)

// receiver is an instance that notes what it was told to apply: the number of the order that a document stands for.
type receiver struct {
	control.Instance // of which nothing calls more than what follows

	name string
	base *settings.Settings
	mu   sync.Mutex
	took []took
}

type took struct {
	at    time.Duration
	order int
}

func (r *receiver) Name() string             { return r.name }
func (r *receiver) Base() *settings.Settings { return r.base }
func (r *receiver) State(context.Context) (*control.State, error) {
	return &control.State{Taking: true}, nil
}
func (r *receiver) Apply(_ context.Context, part string, d *document.Document) error {
	if part == document.PartService && d.Service.Requests != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.took = append(r.took, took{time.Since(began), *d.Service.Requests})
	}
	return nil
}
func (r *receiver) Hold(context.Context, string, time.Duration) (bool, error) { return true, nil }
func (r *receiver) SetAccepting(bool)                                         {}
func (r *receiver) Reload(context.Context) error                              { return nil }

var began = time.Now()

// managerGroup is a play of managers: orders come all the time, each once the one before is done, and faults between.
type managerGroup struct {
	*Managers
	t         *testing.T
	receivers []*receiver
	clients   map[string]*manage.Client
	duties    map[string]*duty.Client

	mu    sync.Mutex
	done  int // orders that were told as done
	given int
	log   []string
}

func (h *managerGroup) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log = append(h.log, fmt.Sprintf("%6.2fs ", time.Since(began).Seconds())+fmt.Sprintf(format, args...))
}

// newManagerGroup starts managers of twenty receivers.
func newManagerGroup(t *testing.T, members int) *managerGroup {
	t.Helper()
	base, err := settings.Parse([]byte(`{"categories":[{"name":"close","aim":600,"deadline":2500,"credit":2,"effect":"side_effect"}],
		"replicasOfMe":1,"limits":{"maxAttempts":3,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	n := network.NewLoopback(1, true)
	var names, addrs []string
	for i := range 20 {
		addr, err := n.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		names, addrs = append(names, fmt.Sprintf("i%02d", i)), append(addrs, addr)
	}
	h := managersOf(t, n, members, names, addrs)
	for i, name := range names {
		r := &receiver{name: name, base: &base}
		d := api.Door{Listen: addrs[i], Token: []api.Token{{SHA256: h.Hash(), Role: api.Change}}}
		if d.Certificate, d.Key, err = h.Issue(name); err != nil {
			t.Fatal(err)
		}
		l, err := d.Open()
		if err != nil {
			t.Fatal(err)
		}
		s := control.NewServer(r, control.Options{Epoch: name + "-1", Access: d})
		go s.Serve(l[0])
		t.Cleanup(func() { s.Close() })
		h.receivers = append(h.receivers, r)
	}
	return h
}

// managersOf starts managers of instances that are there, or will be.
func managersOf(t *testing.T, n *network.Network, members int, names, addrs []string) *managerGroup {
	t.Helper()
	return managersAs(t, n, members, names, addrs, nil)
}

// managersAs starts them as builds by their names.
func managersAs(t *testing.T, n *network.Network, members int, names, addrs []string, older map[string]string) *managerGroup {
	t.Helper()
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	h := &managerGroup{t: t, clients: map[string]*manage.Client{}, duties: map[string]*duty.Client{}}
	if h.Managers, err = NewManagers(dir, t.TempDir(), n, members, names, addrs); err != nil {
		t.Fatal(err)
	}
	h.Older = older
	if err := h.Write(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	dialer, err := api.NewDialer(api.Credentials{CA: h.CA(), TokenFile: h.Token})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dialer.Close)
	for _, name := range h.Names {
		at := dialer.At(api.Address{Name: name, Addr: h.Addr(name)})
		h.clients[name], h.duties[name] = manage.NewClient(at), duty.NewClient(at)
		if err := h.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// await waits until something is so.
func (h *managerGroup) await(what string, so func() bool) {
	h.t.Helper()
	for begun := time.Now(); !so(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > 60*time.Second {
			h.t.Fatalf("not in time: %s\n%s", what, h.story())
		}
	}
}

// holder is who manages, as it says itself: used to know whom to harm, never for a verdict.
func (h *managerGroup) holder() (name string) {
	for _, name := range h.Names {
		ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
		_, err := h.clients[name].Status(ctx)
		cancel()
		if err == nil {
			return name
		}
	}
	return ""
}

// someHolder waits until somebody says that he manages: on a busy machine the one who does may not
// answer in time, or the duty be on its way.
func (h *managerGroup) someHolder() (name string) {
	h.await("somebody manages", func() bool {
		name = h.holder()
		return name != ""
	})
	return name
}

func (h *managerGroup) whole() bool {
	for _, name := range h.Names {
		ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
		g, err := h.duties[name].Group(ctx)
		cancel()
		if err != nil || len(g.Members) != len(h.Names) || g.Why != "" || slices.ContainsFunc(g.Members, func(m duty.Member) bool { return !m.Voter }) {
			return false
		}
	}
	return true
}

// orders gives one order after the other until the context ends. Which one is done the manager says, and the receivers are asked.
func (h *managerGroup) orders(ctx context.Context) {
	limits := &manage.Limits{Canaries: 2, Growth: 3, Bake: 0.2, MoreRefused: 1, MoreFailed: 1, LessInAim: 1, MayFail: 0.5}
	for k := 1; ctx.Err() == nil; k++ {
		h.mu.Lock()
		h.given = k
		h.mu.Unlock()
		id, d := fmt.Sprintf("o%d", k), &document.Document{Service: document.ServicePart{Requests: &k}}
		for taken := false; ctx.Err() == nil; {
			for _, name := range h.Names {
				// An order that was not answered is given again under its id, to whoever manages by then: it is taken once.
				within, cancel := context.WithTimeout(ctx, 2*time.Second)
				r, err := h.clients[name].Report(within, id)
				if !taken || errors.As(err, new(*api.Problem)) && err.(*api.Problem).Status == 404 {
					r, err = h.clients[name].StartRollout(within, id, &manage.Order{Document: d, Limits: limits})
				}
				if err == nil && r.Halted() {
					r, err = h.clients[name].ControlRollout(within, id, manage.ResumeAction, true)
				}
				cancel()
				if err == nil && !taken {
					taken = true
					h.note("order %d taken by %s", k, name)
				}
				if err == nil && r.Status == "completed" {
					h.mu.Lock()
					h.done = k
					h.mu.Unlock()
					h.note("order %d done, says %s", k, name)
				}
				if err == nil {
					break
				}
			}
			h.mu.Lock()
			done := h.done == k
			h.mu.Unlock()
			if done {
				break
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

func (h *managerGroup) told() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

func (h *managerGroup) story() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var logs strings.Builder
	for _, name := range h.Names {
		files, _ := filepath.Glob(filepath.Join(h.Dir, name, "log.*"))
		for _, f := range files {
			text, _ := os.ReadFile(f)
			fmt.Fprintf(&logs, "--- %s\n%s", f, text)
		}
	}
	return strings.Join(h.log, "\n") + "\n" + logs.String()
}

// judge looks at what the receivers took: orders come in their order, none is done again after a later one, and all that was
// told as done has come to all of them in the end.
func (h *managerGroup) judge() (wrong []string) {
	for _, r := range h.receivers {
		r.mu.Lock()
		last := took{}
		for _, x := range r.took {
			if x.order < last.order {
				wrong = append(wrong, fmt.Sprintf("%s took order %d at %v after order %d at %v", r.name, x.order, x.at, last.order, last.at))
			}
			last = x
		}
		if last.order < h.told() {
			wrong = append(wrong, fmt.Sprintf("%s has order %d, and %d was told as done", r.name, last.order, h.told()))
		}
		if last.order > h.given {
			wrong = append(wrong, fmt.Sprintf("%s has order %d, which nobody gave", r.name, last.order))
		}
		r.mu.Unlock()
	}
	return wrong
}

// ctl has the command line ask the group, and returns what it prints.
func (h *managerGroup) ctl(code int, words ...string) string {
	h.t.Helper()
	var all []string
	for _, name := range h.Names {
		all = append(all, name+"@"+h.Addr(name))
	}
	words = append([]string{"ctl", "-m", strings.Join(all, ","), "--ca", h.CA(), "--token-file", h.Token}, words...)
	cmd := exec.CommandContext(h.t.Context(), filepath.Join(h.Build, "micaline"), words...)
	out, _ := cmd.CombinedOutput() // its code says what is wrong
	if got := cmd.ProcessState.ExitCode(); got != code {
		h.t.Errorf("%v: exit code %d, want %d\n%s", words[7:], got, code, out)
	}
	return string(out)
}

// another waits until one of the others manages, as they say.
func (h *managerGroup) another(but ...string) {
	h.await(fmt.Sprintf("another than %v manages", but), func() bool {
		x := h.holder()
		return x != "" && !slices.Contains(but, x)
	})
}

// progress waits until a further order is done.
func (h *managerGroup) progress() {
	from := h.told()
	h.await("a further order is done", func() bool { return h.told() > from })
}

func (h *managerGroup) lead() string {
	for _, name := range h.Names {
		ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
		g, err := h.duties[name].Group(ctx)
		cancel()
		if err == nil && g.Why == "" && g.Lead != "" {
			return g.Lead
		}
	}
	return h.Names[0]
}

// refused says whether the lead refuses a process as a member.
func (h *managerGroup) refused(who string) bool {
	ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
	defer cancel()
	g, err := h.duties[h.lead()].Group(ctx)
	return err == nil && slices.ContainsFunc(g.Others, func(o duty.Other) bool { return o.Name == who && strings.Contains(o.Why, "another disk") })
}
