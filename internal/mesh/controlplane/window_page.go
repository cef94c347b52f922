package controlplane

import (
	"html/template"
	"net/http"
	"time"

	"example.org/micaline/internal/mesh/maintenance"
)

// windowPage is GET /windows: the windows of planned work, for people.
type windowPage struct{ c *Core }

var windowTemplate = template.Must(template.New("windows").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="2"><title>Maintenance windows</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.3em .6em;text-align:left;vertical-align:top}.clear{background:#cfc}.not{background:#fcc}</style>
</head><body><h1>Maintenance windows</h1>
<p>As {{.Node}} knows them, {{.Now}}.</p>
{{if .Windows}}<table><tr><th>Name</th><th>Machines</th><th>Start</th><th>End</th><th>Phase</th><th>Clear</th><th>Left on its machines</th><th>Waits, ended</th><th>Without them</th></tr>
{{range .Windows}}<tr><td>{{.Name}}<br><small>{{.By}} {{.Why}}</small></td><td>{{range .Zones}}{{.}}<br>{{end}}{{range .Nodes}}{{.}}<br>{{end}}</td>
<td>{{.Start.Format "2006-01-02 15:04:05"}}<br><small>{{.Lead}} before</small></td><td>{{.End.Format "2006-01-02 15:04:05"}}</td>
<td>{{.Phase}}, step {{.Step}} of {{.Steps}}</td>
{{if eq .Phase "closed"}}{{if .Clear}}<td class="clear">clear</td>{{else}}<td class="not">not clear</td>{{end}}{{else}}<td>-</td>{{end}}
<td>{{range .Left}}{{.}}<br>{{end}}</td><td>{{.Waits}} {{.Ended}}</td>
<td>{{range .Forecast}}{{.Service}}: {{printf "%.1f" .Load}} in work, room {{.Room}}<br>{{end}}</td></tr>
{{end}}</table>{{else}}<p>None is planned.</p>{{end}}
</body></html>
`))

func (h *windowPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		only(w, "GET")
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	windowTemplate.Execute(w, struct {
		Node, Now string
		Windows   []maintenance.StateDocument
	}{h.c.set.NodeName, time.Unix(0, int64(h.c.clock.Now())).UTC().Format("2006-01-02 15:04:05 MST"), h.c.windowStates()})
}
