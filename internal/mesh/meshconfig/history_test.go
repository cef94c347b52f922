package meshconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// member is what one core machine holds.
type member struct {
	config  *Config
	history *History
	index   uint64
}

func newMember() *member { return &member{config: New(), history: NewHistory()} }

func (m *member) carry(o *Order) (err error) {
	m.index++
	m.config, err = m.history.ApplyOrder(m.index, m.config, o)
	return err
}

// restart puts what Encode gave in the place of what is held.
func (m *member) restart(t require.TestingT) {
	config, err := Decode(m.config.Encode())
	require.NoError(t, err)
	history, err := DecodeHistory(m.history.Encode())
	require.NoError(t, err)
	require.Equal(t, m.history.count, history.count)
	m.config, m.history = config, history
}

// patchOf reads the lines of a call: "KIND NAME VERSION BODY" or "drop KIND NAME VERSION".
func patchOf(lines string) []byte {
	var add []string
	drops := make(map[string][]string)
	for line := range strings.Lines(lines) {
		words := strings.SplitN(strings.TrimSpace(line), " ", 4)
		if words[0] == "drop" {
			drops[words[1]] = append(drops[words[1]], fmt.Sprintf(`{"name":%q,"version":%q}`, words[2], words[3]))
			continue
		}
		add = append(add, fmt.Sprintf(`{"item_kind":%q,"metadata":{"name":%q,"version":%q},"body":%s}`,
			words[0], words[1], words[2], words[3]))
	}
	return fmt.Appendf(nil, `{"add":{"items":[%s]},"remove":{"routes":[%s],"services":[%s]}}`,
		strings.Join(add, ","), strings.Join(drops[routes], ","), strings.Join(drops[services], ","))
}

// told is how an order ended, as an operator is told.
func told(err error) string {
	var (
		conflict  *ConflictError
		forgotten *ForgottenVersionError
		stale     *StaleOrderError
	)
	switch {
	case err == nil:
		return "confirmed"
	case errors.As(err, &conflict):
		return "409: " + err.Error()
	case errors.As(err, &forgotten):
		return "503: " + err.Error()
	case errors.As(err, &stale):
		return "stale: " + err.Error()
	}
	return "400: " + err.Error()
}

func TestOrderStories(t *testing.T) {
	datadriven.Walk(t, "testdata/history", func(t *testing.T, path string) {
		m := newMember()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			before := m.config
			order := Order{Op: d.Cmd, Strict: !d.HasArg("before")}
			switch d.Cmd {
			case "restart":
				if m.restart(t); d.HasArg("history") {
					m.history = HistoryFromConfig(m.config)
				}
				return "ok"
			case OpPatch:
				order.Body = patchOf(d.Input)
			default:
				order.Zone = d.CmdArgs[0].Key
				d.ScanArgs(t, "since", &order.Since)
				m.index = max(m.index, order.Since)
			}
			return strings.Join(append([]string{told(m.carry(&order))}, Diff(before, m.config)...), "\n")
		})
	})
}

func TestCanonicalNumbers(t *testing.T) {
	for number, want := range map[string]string{
		"0": "0", "-0.00e7": "0", "120": "12e1", "1.2E+2": "12e1", "0.0120": "12e-3", "-1e-2": "-1e-2", "100e-2": "1e0",
		"1e999999999999999999999": "1e999999999999999999999", "10e99999999999999999": "1e100000000000000000",
	} {
		require.Equal(t, want, canonicalNumber(number), number)
	}
}

// claims is the plainly correct history: the content of every version that was ever confirmed.
type claims map[string]string

func (c claims) contradicted(d drawn) bool {
	within := claims{}
	for _, i := range d {
		name, content := i.claim()
		for _, known := range []claims{c, within} {
			if first, there := known[name]; there && first != content {
				return true
			}
		}
		within[name] = content
	}
	return false
}

func (c claims) add(d drawn) {
	for _, i := range d {
		name, content := i.claim()
		c[name] = content
	}
}

// claim is an item's name and version, and what is said of it.
func (i change) claim() (name, content string) {
	name = fmt.Sprint(i.route, i.name, i.version)
	if i.drop {
		return name, "dropped"
	}
	if i.route {
		return name, i.path + i.service
	}
	return name, "set"
}

// checkHistory draws calls with few names and versions, so that most contradict or repeat others,
// and compares each answer with the model's. Between is what befalls the member after a call.
func checkHistory(t *rapid.T, between func(m *member)) {
	m, model, all := newMember(), model{}, claims{}
	names := strings.Split("abc", "")
	for range rapid.IntRange(1, 40).Draw(t, "calls") {
		d := make(drawn, rapid.IntRange(1, 3).Draw(t, "items"))
		for n := range d {
			d[n] = change{
				route: rapid.Bool().Draw(t, "route"), drop: rapid.IntRange(0, 4).Draw(t, "drop") == 0,
				name: rapid.SampledFrom(names).Draw(t, "name"), path: rapid.SampledFrom([]string{"/", "/a/"}).Draw(t, "path"),
				service: rapid.SampledFrom(names).Draw(t, "service"), version: rapid.IntRange(1, 6).Draw(t, "version"),
			}
		}
		err := m.carry(&Order{Op: OpPatch, Body: []byte(d.String()), Strict: true})
		next, valid := model.apply(d)
		switch {
		case all.contradicted(d):
			require.Error(t, err, "another content was confirmed: %v", d)
		case !valid:
			var wrong *InvalidError
			require.ErrorAs(t, err, &wrong)
		default:
			require.NoError(t, err)
			model = next
			all.add(d)
		}
		require.Len(t, m.config.items, len(model))
		between(m)
	}
}

func TestHistoryAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkHistory(t, func(m *member) {
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				m.restart(t)
			}
		})
	})
}

// Versions that were overtaken by thousands of others are neither confirmed nor refused; those that
// are remembered are confirmed again. A dropped item never comes back.
func TestHistoryIsBounded(t *testing.T) {
	m := newMember()
	set := func(name string, version int) error {
		return m.carry(&Order{Op: OpPatch, Body: patchOf(fmt.Sprintf(`services %s %x {"max_conns":%d}`, name, version, version)), Strict: true})
	}
	var forgotten *ForgottenVersionError
	for version := 1; version <= MaxPastVersions+MaxPastVersions/2; version++ {
		require.NoError(t, set(fmt.Sprint("s", version%7), version))
		require.LessOrEqual(t, m.history.count, MaxPastVersions)
	}
	require.ErrorAs(t, set("s1", 1), &forgotten)
	remembered := MaxPastVersions // halfway: the younger half of what there were
	require.NoError(t, set(fmt.Sprint("s", remembered%7), remembered))
	require.Less(t, len(m.history.Encode()), 512<<10)

	var drops strings.Builder
	for n := range MaxTombstones + 10 {
		fmt.Fprintf(&drops, "drop services d%d %x\n", n, n+10)
		if n%100 == 0 || n == MaxTombstones+9 {
			require.NoError(t, m.carry(&Order{Op: OpPatch, Body: patchOf(drops.String()), Strict: true}))
			drops.Reset()
		}
	}
	m.restart(t)
	require.ErrorAs(t, set("d0", 9), &forgotten)
	require.ErrorAs(t, set("d0", 10), &forgotten)
	require.Nil(t, m.config.Service("d0"), "a dropped item stands again")
	require.NoError(t, set("d0", 1000))
	require.ErrorAs(t, set("d0", 12), &forgotten)
	require.Less(t, len(m.history.items), MaxTombstones+100)
}
