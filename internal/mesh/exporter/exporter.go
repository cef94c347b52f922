// Package exporter is the exporter of metrics: it asks all processes of a mesh for
// their figures and gives them out in Prometheus' text format.
//
// It keeps nothing between two scrapes but the last answer, which two who ask at the same time
// share. It asks the core machines that it is told of, and who these tell of, a bounded number at
// once, each with a time-out; what stays silent is a figure too (micaline_mesh_up).
//
// Promised: it gives out only what is in the table of package meshmetrics, with the labels that stand
// there and values of bounded length, at most mostSeries of one metric for each process, and no
// series twice; what it left out it counts (micaline_mesh_dropped).
package exporter

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/meshclient"
	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"
)

const (
	mostSeries = 256 // of one metric, for each process
	mostValue  = 128 // bytes of a label's value
	shared     = time.Second
)

// Exporter serves the metrics of a mesh. All fields are set before its first use.
type Exporter struct {
	Mesh    *meshclient.Mesh
	Timeout time.Duration // for one scrape

	mu   sync.Mutex // guards what follows, and lets one scrape run at a time
	last []*dto.MetricFamily
	at   time.Time
}

// ServeHTTP serves /metrics.
func (e *Exporter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/metrics":
		http.NotFound(w, r)
		return
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "use GET", http.StatusMethodNotAllowed)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range e.gather() {
		if encoder.Encode(family) != nil {
			return // who asked is gone
		}
	}
}

func (e *Exporter) gather() []*dto.MetricFamily {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last != nil && time.Since(e.at) < shared {
		return e.last
	}
	// Not the context of who asks: another may wait for the same answer.
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	began := time.Now()
	survey := e.Mesh.Look(ctx, true)
	e.last, e.at = families(survey, time.Since(began)), time.Now()
	return e.last
}

// page collects the series of one scrape.
type page struct {
	families map[string]*dto.MetricFamily
	seen     map[string]bool // of one process: metric and label values
	counts   map[string]int  // likewise: series of a metric
	dropped  int
}

// families turns a survey into metrics.
func families(s *meshclient.Survey, took time.Duration) []*dto.MetricFamily {
	p := &page{families: map[string]*dto.MetricFamily{}}
	var own meshmetrics.Set
	leaders, silent := 0, 0
	for _, c := range s.Cores {
		host, zone := c.Control, ""
		if h, _, err := net.SplitHostPort(c.Control); err == nil {
			host = h
		}
		if c.Figures == nil {
			silent++
		} else {
			zone = c.Figures.Core.Zone
			p.process(c.Figures, host, zone, "core")
			if c.Figures.Core.Role == "leader" {
				leaders++
			}
		}
		own.Flag("micaline_mesh_up", c.Figures != nil, host, zone, "core")
	}
	newest := s.Newest()
	for _, a := range s.Agents {
		st := &a.Heard.Station
		if a.Figures != nil {
			p.process(a.Figures, st.Agent, st.Zone, "agent")
			own.Flag("micaline_mesh_config_behind", a.Figures.Agent.Index < newest.Index, st.Agent, st.Zone)
		}
		own.Flag("micaline_mesh_up", a.Figures != nil, st.Agent, st.Zone, "agent")
	}
	own.Add("micaline_mesh_leaders", float64(leaders))
	own.Add("micaline_mesh_cores_silent", float64(silent))
	own.Add("micaline_mesh_scrape_seconds", took.Seconds())
	own.Add("micaline_mesh_dropped", float64(p.dropped))
	for i := range own.Samples {
		p.add(&own.Samples[i], nil)
	}
	list := make([]*dto.MetricFamily, 0, len(p.families))
	for _, family := range p.families {
		list = append(list, family)
	}
	slices.SortFunc(list, func(x, y *dto.MetricFamily) int { return cmp.Compare(x.GetName(), y.GetName()) })
	return list
}

// process takes in the figures of one process. Danger: they come from another process, perhaps of
// another version.
func (p *page) process(f *transport.StatsReport, machine, zone, process string) {
	p.seen, p.counts = map[string]bool{}, map[string]int{}
	common := []string{"machine", machine, "process", process, "zone", zone}
	for i := range f.Samples {
		s := &f.Samples[i]
		if !known(s) || p.counts[s.Name] >= mostSeries || p.seen[seriesOf(s)] {
			p.dropped++
			continue
		}
		p.counts[s.Name]++
		p.seen[seriesOf(s)] = true
		p.add(s, common)
	}
}

func seriesOf(s *transport.Sample) string { return s.Name + "\x00" + strings.Join(s.Labels, "\x00") }

// known says whether a sample is what the table says of its metric.
func known(s *transport.Sample) bool {
	m := meshmetrics.Find(s.Name)
	if m == nil || m.Source == meshmetrics.Exporter || len(s.Labels) != 2*len(m.Labels) {
		return false
	}
	for i, name := range m.Labels {
		if s.Labels[2*i] != name || len(s.Labels[2*i+1]) > mostValue {
			return false
		}
	}
	return true
}

// add adds a series.
func (p *page) add(s *transport.Sample, common []string) {
	m := meshmetrics.Find(s.Name)
	family := p.families[s.Name]
	if family == nil {
		kind := dto.MetricType_GAUGE
		if m.Kind == meshmetrics.Counter {
			kind = dto.MetricType_COUNTER
		}
		family = &dto.MetricFamily{Name: proto.String(m.Name), Help: proto.String(m.Help + " (" + m.Unit + ")"), Type: kind.Enum()}
		p.families[s.Name] = family
	}
	one := &dto.Metric{}
	for _, labels := range [][]string{common, s.Labels} {
		for i := 0; i+1 < len(labels); i += 2 {
			value := strings.ToValidUTF8(labels[i+1], "?")
			one.Label = append(one.Label, &dto.LabelPair{Name: proto.String(labels[i]), Value: proto.String(value)})
		}
	}
	if m.Kind == meshmetrics.Counter {
		one.Counter = &dto.Counter{Value: proto.Float64(s.Value)}
	} else {
		one.Gauge = &dto.Gauge{Value: proto.Float64(s.Value)}
	}
	family.Metric = append(family.Metric, one)
}
