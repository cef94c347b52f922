package fleet

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"

	"example.org/micaline/internal/agent"
	"example.org/micaline/internal/chart"
	"example.org/micaline/internal/level"
	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
	"example.org/micaline/internal/tomlfile"
)

const siteDay = `
name = "site"
for = "30s"
agents = %[1]d
load = [{ at = "0s", rate = %[2]d }]
[clients]
hang_up = 0.0
skew = 30
[limits]
reports = "%[3]s"
cross_price = 0.05
sites = %[4]v
[[fault]]
kind = "vanish"
zone = "a"
at = "8s"
for = "8s"
share = 1
[[backends]]
zone = "a"
count = %[5]d
cores = 4
slots = 4
[[backends]]
zone = "b"
count = %[5]d
cores = 4
slots = 4
[[backends]]
zone = "c"
count = %[5]d
cores = 4
slots = 4
`

// aSiteLess is the level of docs/sites.md: what may be refused goes first while a site is away.
const aSiteLess = `
every = "200ms"
dwell = "1s"
[[level]]
name = "a-site-less"
shed = ["tour", "status-update"]
part = 0.3
enter = { sites = 0.3 }
exit = { sites = 0.2 }
`

var sitesPlot = flag.String("sites-plot", "", "file, as SVG, for the course of BenchmarkSiteLost's days of 0.8 of the room with reports")

// BenchmarkSiteLost plays the loss of one site of three for eight seconds, in virtual time: with sites not watched, watched, and
// watched with a level that sheds what may go first. The shares are of requests that began in the seconds of the loss;
// well-after is in seconds from its end.
func BenchmarkSiteLost(b *testing.B) {
	courses := map[string]map[int][]*course{}
	for _, reports := range []string{"answers", "none"} {
		for _, agents := range []int{5, 50, 300} {
			for _, load := range []float64{0.5, 0.8} {
				for _, mode := range []string{"alone", "watched", "level"} {
					b.Run(fmt.Sprintf("%s/%d/%v/%s", reports, agents, load, mode), func(b *testing.B) {
						for n := range b.N {
							c := loseSite(b, *seedFlag+uint64(n), reports, agents, load, mode)
							if reports == "answers" && load == 0.8 {
								if courses[mode] == nil {
									courses[mode] = map[int][]*course{}
								}
								courses[mode][agents] = append(courses[mode][agents], c)
							}
						}
					})
				}
			}
		}
	}
	if *sitesPlot != "" && len(courses) > 0 {
		if err := plotSites(courses, *sitesPlot); err != nil {
			b.Fatal(err)
		}
	}
}

// course is what became of a day, by second.
type course struct {
	inAim   map[string][]float64 // by class: share of the operations that began then
	refused []float64            // share of the answers
	busiest []float64            // requests at the server with the most, over those it serves at once
}

const siteFrom, siteUntil, siteSlots = 8, 17, 4 // seconds of the day; requests that a server serves at once

func loseSite(b *testing.B, seed uint64, reports string, agents int, load float64, mode string) *course {
	const meanWork = 0.0537 // of a request
	servers := 4
	if agents > 50 {
		servers = 10
	}
	s, err := scenario.Parse(fmt.Appendf(nil, siteDay, agents, int(load*float64(servers*12)/meanWork), reports, mode != "alone", servers))
	if err != nil {
		b.Fatal(err)
	}
	aims := map[string]time.Duration{}
	for _, c := range s.Classes {
		aims[c.Name] = c.Aim.D()
	}
	var levels level.Config
	if err := errors.Join(tomlfile.Decode([]byte(aSiteLess), &levels), levels.Validate()); err != nil {
		b.Fatal(err)
	}
	front := func(ctx context.Context, cfg *agent.Config, reloads <-chan *agent.Config, l net.Listener, n agent.Network, log *slog.Logger) error {
		if mode == "level" {
			cfg.Levels = levels
		}
		return agent.Serve(ctx, cfg, reloads, l, n, log)
	}
	type begun struct {
		at    time.Duration
		class string
	}
	var mu sync.Mutex
	began, asked, served := map[string]begun{}, map[string][]float64{}, map[string][]float64{}
	count := func(of map[string][]float64, class string, at time.Duration) {
		for len(of[class]) <= int(at.Seconds()) {
			of[class] = append(of[class], 0)
		}
		of[class][int(at.Seconds())]++
	}
	tap := func(r *rules.Record) {
		mu.Lock()
		defer mu.Unlock()
		op, try, _ := strings.Cut(r.Call, ".")
		switch {
		case r.Kind == rules.Asked && try == "0":
			began[op] = begun{r.At, r.Class}
			count(asked, r.Class, r.At)
		case r.Kind == rules.Answered && r.Status == 200:
			if o, ok := began[op]; ok && r.At-o.at <= aims[o.class] {
				count(served, o.class, o.at)
				delete(began, op)
			}
		}
	}
	c := &course{inAim: map[string][]float64{}}
	watch := func(s *Snapshot) {
		most := 0
		for _, o := range s.Backends {
			most = max(most, o.InFlight)
		}
		c.busiest = append(c.busiest, float64(most)/siteSlots)
		c.refused = append(c.refused, float64(s.Refused)/max(1, s.Rate))
	}
	test := func(*testing.T) {
		var r *Report
		r, err = Play(context.Background(), Options{
			Scenario: s, Seed: seed, Network: network.NewMemory(seed), Front: front, Log: slog.New(slog.DiscardHandler),
			Lag: 5 * time.Millisecond, Tap: tap, Watch: watch,
		})
		if err == nil && !r.Kept() {
			err = fmt.Errorf("a rule is broken: %s", findings(r))
		}
	}
	if !testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "day", F: func(t *testing.T) { synctest.Test(t, test) }}}) || err != nil {
		b.Fatal(err)
	}
	in := func(of []float64, second int) float64 {
		if second < len(of) {
			return of[second]
		}
		return 0
	}
	well, all, got := 0, 0.0, 0.0
	for second := range int(s.For.D().Seconds()) {
		of, ok := 0.0, 0.0
		for class := range aims {
			n, y := in(asked[class], second), in(served[class], second)
			c.inAim[class] = append(c.inAim[class], y/max(1, n))
			of, ok = of+n, ok+y
		}
		if second >= siteFrom && second < siteUntil {
			all, got = all+of, got+ok
		}
		if second >= siteUntil && ok < 0.97*of {
			well = second + 1 - siteUntil
		}
	}
	b.ReportMetric(got/max(1, all), "in-aim")
	b.ReportMetric(float64(well), "well-after")
	for class, name := range map[string]string{"tour": "tour", "status-update": "status", "delivery-close": "close"} {
		b.ReportMetric(stat.Mean(c.inAim[class][siteFrom:siteUntil], nil), name)
	}
	b.ReportMetric(slices.Max(c.busiest[siteFrom:]), "busiest")
	return c
}

// plotSites draws the courses: a row for each number of agents, a line for each mode, the mean over the days played.
func plotSites(courses map[string]map[int][]*course, file string) error {
	var rows [][]chart.Chart
	for _, n := range slices.Sorted(maps.Keys(courses["watched"])) {
		var row []chart.Chart
		for _, column := range []struct {
			name string
			of   func(*course) []float64
		}{
			{"delivery-close in aim", func(c *course) []float64 { return c.inAim["delivery-close"] }},
			{"status-update in aim", func(c *course) []float64 { return c.inAim["status-update"] }},
			{"refused", func(c *course) []float64 { return c.refused }},
			{"busiest server, over its slots", func(c *course) []float64 { return c.busiest }},
		} {
			lines := map[string][]float64{}
			for mode, days := range courses {
				sum := make([]float64, 28) // seconds: the last ones are cut off in some days
				for _, c := range days[n] {
					floats.Add(sum, column.of(c)[:len(sum)])
				}
				floats.Scale(1/float64(len(days[n])), sum)
				lines[mode] = sum
			}
			row = append(row, chart.Chart{
				Title: fmt.Sprintf("%d agents: %s", n, column.name), X: fmt.Sprintf("s, away %d to %d", siteFrom, siteUntil-1), Lines: lines,
			})
		}
		rows = append(rows, row)
	}
	return chart.Write(file, rows)
}
