package controlplane

import (
	"html/template"
	"net/http"
	"time"

	"example.org/micaline/internal/mesh/maintenance"
)

// windowPageHandler serves GET /windows, a web page with the maintenance windows.
type windowPageHandler struct{ core *Core }

var windowTemplate = template.Must(template.New("windows").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="2"><title>Maintenance windows</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.3em .6em;text-align:left;vertical-align:top}.clear{background:#cfc}.not{background:#fcc}</style>
</head><body><h1>Maintenance windows</h1>
<p>As known to {{.Node}}, {{.Now}}.</p>
{{if .Windows}}<table><tr><th>Name</th><th>Machines</th><th>Start</th><th>End</th><th>Phase</th><th>Clear</th><th>Still active on its machines</th><th>Blocked or ended because</th><th>Load without them</th></tr>
{{range .Windows}}<tr><td>{{.Name}}<br><small>{{.By}} {{.Why}}</small></td><td>{{range .Zones}}{{.}}<br>{{end}}{{range .Nodes}}{{.}}<br>{{end}}</td>
<td>{{.Start.Format "2006-01-02 15:04:05"}}<br><small>{{.Lead}} before</small></td><td>{{.End.Format "2006-01-02 15:04:05"}}</td>
<td>{{.Phase}}, step {{.Step}} of {{.Steps}}</td>
{{if eq .Phase "closed"}}{{if .Clear}}<td class="clear">clear</td>{{else}}<td class="not">not clear</td>{{end}}{{else}}<td>-</td>{{end}}
<td>{{range .Left}}{{.}}<br>{{end}}</td><td>{{.Waits}} {{.Ended}}</td>
<td>{{range .Forecast}}{{.Service}}: {{printf "%.1f" .Load}} in progress, capacity {{.Room}}<br>{{end}}</td></tr>
{{end}}</table>{{else}}<p>No windows are planned.</p>{{end}}
</body></html>
`))

func (h *windowPageHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		methodNotAllowed(w, "GET")
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	windowTemplate.Execute(w, struct {
		Node, Now string
		Windows   []maintenance.StateDocument
	}{h.core.settings.NodeName, time.Unix(0, int64(h.core.clock.Now())).UTC().Format("2006-01-02 15:04:05 MST"), h.core.windowStates()})
}
