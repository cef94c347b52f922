// Package meshmetrics is the list of metrics: what the mesh's processes count, in which unit,
// with which labels.
//
// There is one table, Metrics. A process fills a Set by it, the exporter takes names, kinds and
// help from it, rules for alerts may ask only for what it has, and the table in docs/mesh-tools.md
// is printed from it. So a metric is named in one place.
//
// Promised: a Set holds only metrics of the table, each with exactly its labels. Label values are
// services, zones and machines of the deployment, or words of lists that are fixed in the program:
// never anything that a request brings.
package meshmetrics

import (
	"fmt"
	"runtime/metrics"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// Kind tells what may be done with a metric's values.
type Kind string

// The kinds. A counter only rises in a life of a process; a gauge goes both ways.
const (
	Counter Kind = "counter"
	Gauge   Kind = "gauge"
)

// Source is who has a metric.
type Source string

// The sources.
const (
	Agent    Source = "agent"
	Core     Source = "core"
	Both     Source = "agent, core"
	Exporter Source = "exporter"
)

// Metric is a line of the table.
type Metric struct {
	Name   string
	Kind   Kind
	Unit   string
	Labels []string // beside machine, zone and process, which the exporter sets on what it asks for
	Source Source
	Help   string
}

// Set is what a process fills with its figures. The zero value is empty.
type Set struct {
	Samples []transport.Sample
}

var byName = func() map[string]*Metric {
	m := make(map[string]*Metric, len(Metrics))
	for i := range Metrics {
		m[Metrics[i].Name] = &Metrics[i]
	}
	return m
}()

// Find returns a metric of the table, nil if there is none of that name.
func Find(name string) *Metric { return byName[name] }

// Add adds a figure. Values are those of the metric's labels, in their order.
func (s *Set) Add(name string, value float64, values ...string) {
	m := byName[name]
	if m == nil || len(values) != len(m.Labels) {
		panic(fmt.Sprintf("meshmetrics: %s%q is not in the table", name, values))
	}
	var labels []string
	for i, label := range m.Labels {
		labels = append(labels, label, values[i])
	}
	s.Samples = append(s.Samples, transport.Sample{Name: name, Labels: labels, Value: value})
}

// Flag adds 1 or 0.
func (s *Set) Flag(name string, on bool, values ...string) {
	value := 0.0
	if on {
		value = 1
	}
	s.Add(name, value, values...)
}

// OneOf adds 1 for the word that holds and 0 for the others of the list.
func (s *Set) OneOf(name, holds string, words []string) {
	for _, word := range words {
		s.Flag(name, word == holds, word)
	}
}

// Process adds what every process has.
func (s *Set) Process(began time.Time, limitMB int) {
	read := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(read)
	s.Add("micaline_mesh_uptime_seconds", time.Since(began).Seconds())
	s.Add("micaline_mesh_memory_bytes", float64(read[0].Value.Uint64()-read[1].Value.Uint64()))
	s.Add("micaline_mesh_memory_limit_bytes", float64(limitMB)*(1<<20))
}

// Table is the list as rows for docs/mesh-tools.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| metric | kind | unit | labels | source | what it tells |\n|---|---|---|---|---|---|\n")
	for _, m := range Metrics {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, strings.Join(m.Labels, ", "), m.Source, m.Help)
	}
	return b.String()
}
