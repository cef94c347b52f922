package meshconfig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata/config", func(t *testing.T, path string) {
		c, last := New(), ""
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			before := c
			switch d.Cmd {
			case "patch":
				if !d.HasArg("again") {
					last = d.Input
				}
				p, err := ParsePatch([]byte(last))
				if err == nil {
					c, _, err = c.Apply(p)
				}
				if err != nil {
					return "invalid: " + err.Error()
				}
			case "evacuate":
				c = c.Evacuate(d.CmdArgs[0].Key)
			case "return":
				c = c.EndEvacuation(d.CmdArgs[0].Key)
			case "look":
				again, err := Decode(c.Encode())
				require.NoError(t, err)
				require.Equal(t, c.Encode(), again.Encode())
				return fmt.Sprintf("%s\n%s\n%+v\n%v", again.Summary(), again.ItemsJSON(), again.Limits(), again.Services())
			case "key":
				again, err := Decode(c.Encode())
				require.NoError(t, err)
				switch owner := again.CustomerByKey(d.CmdArgs[0].Key); {
				case owner == nil:
					return "nobody's"
				case owner.HasRank:
					return fmt.Sprintf("%s, rank %d", owner.Name, owner.Rank)
				default:
					return owner.Name
				}
			case "route":
				var host, path string
				d.ScanArgs(t, "host", &host)
				d.ScanArgs(t, "path", &path)
				if r := c.Route(host, path); r != nil {
					return fmt.Sprintf("%+v", *r)
				}
				return "none"
			}
			if c == before {
				return "nothing changed"
			}
			return strings.Join(Diff(before, c), "\n")
		})
	})
}

func TestInvalid(t *testing.T) {
	route := func(body string) string {
		return `{"add":{"items":[{"item_kind":"routes","metadata":{"name":"r","version":"1"},"body":{"domain":"d","path_start":"/",` + body + `}}]}}`
	}
	for body, want := range map[string]string{
		``:                         "body: can't be read",
		`[]`:                       "body: can't be read",
		`{"add":{"items":[]}`:      "body: can't be read",
		`{} x`:                     "body: can't be read",
		"{\"more\":\"\xff\"}":      "body: can't be read",
		`{"add":{"items":[null]}}`: "body: can't be read",
		`{"add":{"items":[{"item_kind":"route","metadata":{"name":"r","version":"1"}}]}}`:           `add.items[0].item_kind: "route" is none`,
		`{"add":{"items":[{"item_kind":"services","metadata":{"version":"1"}}]}}`:                   "add.items[0].metadata.name: is missing",
		`{"add":{"items":[{"item_kind":"services","metadata":{"name":"s"}}]}}`:                      `services s version: "" is no version`,
		`{"remove":{"routes":[{"name":"r","version":"x"}]}}`:                                        `routes r version: "x" is no version`,
		`{"add":{"items":[{"item_kind":"limits","metadata":{"version":"1"},"body":{"idle":"9"}}]}}`: `limits idle: "9" is no time`,
		route(`"kind":"odd","service":"s"`):                                                         `routes r kind: "odd" is none`,
		route(`"kind":"safe"`):                                                                      "routes r service: is missing",
		route(`"kind":"safe","service":3`):                                                          "routes r: can't be read",
		route(`"kind":"safe","service":"s","give_up":"4x"`):                                         `routes r give_up: "4x" is no time`,
		route(`"kind":"safe","service":"s","tries":"NaN"`):                                          "routes r tries: NaN is no figure",
		route(`"kind":"safe","shares":[{"service":"s"},{"service":"t","weight":-1}]`):               "routes r shares: no weight",
		route(`"kind":"safe","service":"s","give_up":"2s","target_time":"62s"`):                     "routes r target_time: 62s is a minute",
		strings.Replace(route(`"kind":"safe","service":"s"`), `"/"`, `"x/"`, 1):                     `routes r path_start: "x/" doesn't begin`,
		strings.Replace(route(`"kind":"safe","service":"s"`), `"d"`, `""`, 1):                       "routes r domain: is missing",
	} {
		_, err := ParsePatch([]byte(body))
		var wrong *InvalidError
		require.ErrorAs(t, err, &wrong, body)
		require.ErrorContains(t, err, want, body)
	}
	for _, body := range []string{
		`{}`, `{"add":null,"remove":null}`, `{"add":{"items":null},"new":[1]}`,
		route(`"kind":"safe","service":"s","give_up":"2s","target_time":"61.9s","tries":0,"rank":1.5`),
		route(`"kind":"upload","service":"s","target_time":"600s","shares":[]`),
	} {
		_, err := ParsePatch([]byte(body))
		require.NoError(t, err, body)
	}
}

func TestPick(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 0}, {"b", 1}, {"c", 3}, {"d", 0}}, total: 4}
	for u, want := range map[float64]string{0: "b", 0.24: "b", 0.25: "c", 0.999: "c", 1: "c"} {
		require.Equal(t, want, r.PickService(u), u)
	}
}

func TestTombstonesAreBounded(t *testing.T) {
	c := New()
	drop := func(from, to int) {
		var d drawn
		for n := from; n < to; n++ {
			d = append(d, change{route: true, drop: true, name: fmt.Sprint("r", n), version: 1})
		}
		c = applied(t, c, d)
	}
	drop(MaxTombstones, MaxTombstones+1)
	drop(0, MaxTombstones-1)
	require.Len(t, c.items, MaxTombstones)
	drop(MaxTombstones+1, MaxTombstones+2)
	require.Len(t, c.items, MaxTombstones)
	require.Nil(t, c.items[key{routes, fmt.Sprint("r", MaxTombstones)}], "the oldest went")
	require.NotNil(t, c.items[key{routes, "r0"}])
}

func TestRouteDoesNotAllocate(t *testing.T) {
	c := applied(t, New(), drawn{{route: true, name: "r", version: 1, path: "/a/", service: "s"}, {name: "s", version: 1}})
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if c.Route("d.example:80", "/a/b").PickService(0.5) != "s" {
			panic("another service")
		}
	}))
}

// change is an item as the slow model keeps it, and drawn is a patch of such.
type change struct {
	route, drop         bool
	name, path, service string
	version             int
}

type drawn []change

func (d drawn) String() string {
	var set, routes, services []string
	for _, c := range d {
		head := fmt.Sprintf(`"name":"%s","version":"%08x"`, c.name, c.version)
		switch {
		case c.route && c.drop:
			routes = append(routes, "{"+head+"}")
		case c.drop:
			services = append(services, "{"+head+"}")
		case c.route:
			set = append(set, fmt.Sprintf(`{"item_kind":"routes","metadata":{%s},"body":{"domain":"d.example","path_start":%q,"kind":"safe","service":%q}}`,
				head, c.path, c.service))
		default:
			set = append(set, fmt.Sprintf(`{"item_kind":"services","metadata":{%s}}`, head))
		}
	}
	return fmt.Sprintf(`{"add":{"items":[%s]},"remove":{"routes":[%s],"services":[%s]}}`,
		strings.Join(set, ","), strings.Join(routes, ","), strings.Join(services, ","))
}

func applied(t require.TestingT, c *Config, d drawn) *Config {
	c, valid := try(t, c, d)
	require.True(t, valid)
	return c
}

// model is the configuration as a plain map by kind and name.
type model map[string]change

func (m model) apply(d drawn) (model, bool) {
	next := model{}
	for k, c := range m {
		next[k] = c
	}
	for _, c := range d {
		k := fmt.Sprint(c.route, c.name)
		if old, there := next[k]; !there || c.version > old.version {
			next[k] = c
		}
	}
	for _, c := range next {
		if s, there := next[fmt.Sprint(false, c.service)]; c.route && !c.drop && (!there || s.drop) {
			return m, false
		}
	}
	return next, true
}

func (m model) route(path string) string {
	best := change{}
	for _, c := range m {
		if c.route && !c.drop && strings.HasPrefix(path, c.path) && (len(c.path) > len(best.path) ||
			c.path == best.path && (c.version > best.version || c.version == best.version && c.name < best.name)) {
			best = c
		}
	}
	return best.name
}

func TestRandomPatchesAgainstModel(t *testing.T) {
	paths := []string{"/", "/a/", "/a/b/", "/a/b", "/a/c/", "/b/", "/a/b/c/d/"}
	names := strings.Split("abcdef", "")
	rapid.Check(t, func(t *rapid.T) {
		draws := 0
		patch := rapid.Custom(func(t *rapid.T) drawn {
			d := make(drawn, rapid.IntRange(0, 5).Draw(t, "changes"))
			for n := range d {
				draws++
				d[n] = change{
					route: rapid.Bool().Draw(t, "route"), drop: rapid.IntRange(0, 3).Draw(t, "drop") == 0,
					name: rapid.SampledFrom(names).Draw(t, "name"), path: rapid.SampledFrom(paths).Draw(t, "path"),
					service: rapid.SampledFrom(names).Draw(t, "service"),
					// Out of order, and no version twice.
					version: (draws+rapid.IntRange(0, 12).Draw(t, "later"))<<8 | draws&0xff,
				}
			}
			return d
		})
		c, m := New(), model{}
		for _, s := range names {
			d := drawn{{name: s, version: 1}}
			c = applied(t, c, d)
			m, _ = m.apply(d)
		}
		for range 15 {
			d, other := patch.Draw(t, "patch"), patch.Draw(t, "other")
			one, valid1 := try(t, c, d, other)
			two, valid2 := try(t, c, other, d)
			if valid1 && valid2 {
				require.Equal(t, one.ItemsJSON(), two.ItemsJSON())
			}

			p, err := ParsePatch([]byte(d.String()))
			require.NoError(t, err)
			next, changed, err := c.Apply(p)
			want, valid := m.apply(d)
			require.Equal(t, valid, err == nil, "%v", err)
			require.Equal(t, changed, next != c)
			c, m = next, want

			require.Len(t, c.items, len(m))
			for _, i := range c.items {
				w := m[fmt.Sprint(i.kind == routes, i.name)]
				require.Equal(t, uint64(w.version), i.version)
				require.Equal(t, w.drop, i.dropped())
			}
			again, err := Decode(c.Encode())
			require.NoError(t, err)
			require.Equal(t, c.Encode(), again.Encode())
			path := rapid.StringMatching("(/[abcd]){0,5}/?").Draw(t, "path")
			for _, from := range []*Config{c, again} {
				name := ""
				if r := from.Route("D.example", path); r != nil {
					name = r.Name
				}
				require.Equal(t, m.route(path), name, path)
			}
		}
	})
}

// try applies both in turn, if both are valid.
func try(t require.TestingT, c *Config, patches ...drawn) (*Config, bool) {
	for _, d := range patches {
		p, err := ParsePatch([]byte(d.String()))
		require.NoError(t, err)
		if c, _, err = c.Apply(p); err != nil {
			return nil, false
		}
	}
	return c, true
}

// The digest that patches bring up to date is that of the configuration read back whole, and another
// one wherever the configurations differ.
func TestDigest(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	c, seen := New(), map[uint64]string{}
	for range 500 {
		name, version := r.IntN(12), 1+r.IntN(200)
		body := fmt.Sprintf(`{"add":{"items":[{"item_kind":"services","metadata":{"name":"s%d","version":"%08x"},"body":{"health_path":"/%d"}}]}}`, name, version, r.IntN(9))
		if r.IntN(3) == 0 {
			body = fmt.Sprintf(`{"remove":{"services":[{"name":"s%d","version":"%08x"}]}}`, name, version)
		}
		p, err := ParsePatch([]byte(body))
		require.NoError(t, err)
		c, _, err = c.Apply(p)
		require.NoError(t, err)
		if zone := fmt.Sprint(r.IntN(3)); r.IntN(2) == 0 {
			c = c.Evacuate(zone)
		} else {
			c = c.EndEvacuation(zone)
		}
		text := c.Encode()
		whole, err := Decode(text)
		require.NoError(t, err)
		require.Equal(t, whole.Digest(), c.Digest())
		if was, ok := seen[c.Digest()]; ok {
			require.Equal(t, was, string(text))
		}
		seen[c.Digest()] = string(text)
	}
	require.Greater(t, len(seen), 50)
}
