package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// LineOf finds the line of a field such as fault[2].kind, or of the nearest that contains it; 0 if there is none.
func LineOf(text []byte, field string) (line int) {
	var p unstable.Parser
	p.Reset(text)
	tables := map[string]int{} // arrays of tables, and how many there are
	at, best := "", -1
	for p.NextExpression() {
		e := p.Expression()
		var name []string
		where := 0
		for it := e.Key(); it.Next(); {
			name = append(name, strings.ToLower(string(it.Node().Data)))
			where = p.Shape(it.Node().Raw).Start.Line
		}
		path := strings.Join(name, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			at = path + "[" + strconv.Itoa(tables[path]) + "]"
			tables[path]++
			path = at
		case unstable.Table:
			at = path
		case unstable.KeyValue:
			if at != "" {
				path = at + "." + path
			}
		}
		if line == 0 && strings.HasPrefix(path, field+"[") {
			line = where // the first of those that are wrong together
		}
		if len(path) > best && (path == field || strings.HasPrefix(field, path+".") || strings.HasPrefix(field, path+"[")) {
			line, best = where, len(path)
		}
	}
	return line
}
