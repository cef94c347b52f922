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

// TestStories runs the sequences of patches and evacuations in testdata/config.
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata/config", func(t *testing.T, path string) {
		c, lastPatch := New(), ""
		datadriven.RunTest(t, path, func(t *testing.T, command *datadriven.TestData) string {
			before := c
			switch command.Cmd {
			case "patch":
				if !command.HasArg("again") {
					lastPatch = command.Input
				}
				p, err := ParsePatch([]byte(lastPatch))
				if err == nil {
					c, _, err = c.Apply(p)
				}
				if err != nil {
					return "invalid: " + err.Error()
				}
			case "evacuate":
				c = c.Evacuate(command.CmdArgs[0].Key)
			case "return":
				c = c.EndEvacuation(command.CmdArgs[0].Key)
			case "look":
				decoded, err := Decode(c.Encode())
				require.NoError(t, err)
				require.Equal(t, c.Encode(), decoded.Encode())
				return fmt.Sprintf("%s\n%s\n%+v\n%v", decoded.Summary(), decoded.ItemsJSON(), decoded.Limits(), decoded.Services())
			case "key":
				decoded, err := Decode(c.Encode())
				require.NoError(t, err)
				switch owner := decoded.CustomerByKey(command.CmdArgs[0].Key); {
				case owner == nil:
					return "nobody's"
				case owner.HasRank:
					return fmt.Sprintf("%s, rank %d", owner.Name, owner.Rank)
				default:
					return owner.Name
				}
			case "route":
				var host, path string
				command.ScanArgs(t, "host", &host)
				command.ScanArgs(t, "path", &path)
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
		var invalidError *InvalidError
		require.ErrorAs(t, err, &invalidError, body)
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
		var patch modelPatch
		for n := from; n < to; n++ {
			patch = append(patch, modelItem{route: true, drop: true, name: fmt.Sprint("r", n), version: 1})
		}
		c = mustApply(t, c, patch)
	}
	drop(MaxTombstones, MaxTombstones+1)
	drop(0, MaxTombstones-1)
	require.Len(t, c.items, MaxTombstones)
	drop(MaxTombstones+1, MaxTombstones+2)
	require.Len(t, c.items, MaxTombstones)
	require.Nil(t, c.items[key{routes, fmt.Sprint("r", MaxTombstones)}], "the oldest tombstone is removed")
	require.NotNil(t, c.items[key{routes, "r0"}])
}

func TestRouteDoesNotAllocate(t *testing.T) {
	c := mustApply(t, New(), modelPatch{{route: true, name: "r", version: 1, path: "/a/", service: "s"}, {name: "s", version: 1}})
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if c.Route("d.example:80", "/a/b").PickService(0.5) != "s" {
			panic("another service")
		}
	}))
}

// modelItem is an item of the reference model.
type modelItem struct {
	route, drop         bool
	name, path, service string
	version             int
}

// modelPatch is a generated patch.
type modelPatch []modelItem

func (patch modelPatch) String() string {
	var set, routes, services []string
	for _, c := range patch {
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

func mustApply(t require.TestingT, c *Config, patch modelPatch) *Config {
	c, valid := applyAll(t, c, patch)
	require.True(t, valid)
	return c
}

// model is the reference model of a configuration: a map by kind and name.
type model map[string]modelItem

func (m model) apply(patch modelPatch) (model, bool) {
	next := model{}
	for k, c := range m {
		next[k] = c
	}
	for _, c := range patch {
		k := fmt.Sprint(c.route, c.name)
		if old, found := next[k]; !found || c.version > old.version {
			next[k] = c
		}
	}
	for _, c := range next {
		if s, found := next[fmt.Sprint(false, c.service)]; c.route && !c.drop && (!found || s.drop) {
			return m, false
		}
	}
	return next, true
}

func (m model) route(path string) string {
	best := modelItem{}
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
		patch := rapid.Custom(func(t *rapid.T) modelPatch {
			items := make(modelPatch, rapid.IntRange(0, 5).Draw(t, "changes"))
			for n := range items {
				draws++
				items[n] = modelItem{
					route: rapid.Bool().Draw(t, "route"), drop: rapid.IntRange(0, 3).Draw(t, "drop") == 0,
					name: rapid.SampledFrom(names).Draw(t, "name"), path: rapid.SampledFrom(paths).Draw(t, "path"),
					service: rapid.SampledFrom(names).Draw(t, "service"),
					// Versions are out of order but unique.
					version: (draws+rapid.IntRange(0, 12).Draw(t, "later"))<<8 | draws&0xff,
				}
			}
			return items
		})
		c, reference := New(), model{}
		for _, s := range names {
			patch := modelPatch{{name: s, version: 1}}
			c = mustApply(t, c, patch)
			reference, _ = reference.apply(patch)
		}
		for range 15 {
			d, other := patch.Draw(t, "patch"), patch.Draw(t, "other")
			inOrder, valid1 := applyAll(t, c, d, other)
			reversed, valid2 := applyAll(t, c, other, d)
			if valid1 && valid2 {
				require.Equal(t, inOrder.ItemsJSON(), reversed.ItemsJSON())
			}

			p, err := ParsePatch([]byte(d.String()))
			require.NoError(t, err)
			next, changed, err := c.Apply(p)
			want, valid := reference.apply(d)
			require.Equal(t, valid, err == nil, "%v", err)
			require.Equal(t, changed, next != c)
			c, reference = next, want

			require.Len(t, c.items, len(reference))
			for _, i := range c.items {
				want := reference[fmt.Sprint(i.kind == routes, i.name)]
				require.Equal(t, uint64(want.version), i.version)
				require.Equal(t, want.drop, i.dropped())
			}
			decoded, err := Decode(c.Encode())
			require.NoError(t, err)
			require.Equal(t, c.Encode(), decoded.Encode())
			path := rapid.StringMatching("(/[abcd]){0,5}/?").Draw(t, "path")
			for _, from := range []*Config{c, decoded} {
				name := ""
				if r := from.Route("D.example", path); r != nil {
					name = r.Name
				}
				require.Equal(t, reference.route(path), name, path)
			}
		}
	})
}

// applyAll applies the patches in order. It reports false if one of them is invalid.
func applyAll(t require.TestingT, c *Config, patches ...modelPatch) (*Config, bool) {
	for _, patch := range patches {
		p, err := ParsePatch([]byte(patch.String()))
		require.NoError(t, err)
		if c, _, err = c.Apply(p); err != nil {
			return nil, false
		}
	}
	return c, true
}

// TestDigest checks that the incrementally updated digest equals that of the decoded configuration,
// and that different configurations have different digests.
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
		decoded, err := Decode(text)
		require.NoError(t, err)
		require.Equal(t, decoded.Digest(), c.Digest())
		if previous, ok := seen[c.Digest()]; ok {
			require.Equal(t, previous, string(text))
		}
		seen[c.Digest()] = string(text)
	}
	require.Greater(t, len(seen), 50)
}
