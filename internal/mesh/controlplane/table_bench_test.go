package controlplane

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"example.org/micaline/internal/mesh/meshconfig"
	"github.com/stretchr/testify/require"
)

// tableWithRoutes returns a table with a number of routes and the service that they lead to.
func tableWithRoutes(t testing.TB, routes int) *table {
	var body bytes.Buffer
	body.WriteString(`{"add":{"items":[{"item_kind":"services","metadata":{"name":"s","version":"00000001"},"body":{"health_path":"/h"}}`)
	for i := range routes {
		body.WriteByte(',')
		body.WriteString(routeItem(i, 1))
	}
	body.WriteString(`]}}`)
	table := newTable(func() {})
	require.Empty(t, table.Apply(1, encodeOrder(&meshconfig.Order{Op: meshconfig.OpPatch, Body: body.Bytes()})))
	return table
}

func routeItem(i, version int) string {
	return fmt.Sprintf(`{"item_kind":"routes","metadata":{"name":"r%d","version":"%08x"},"body":{"domain":"d%d.example",`+
		`"path_start":"/p%d/","kind":"safe","give_up":"5000ms","target_time":"800ms","rank":2,"service":"s","tries":2}}`, i, version, i%40, i)
}

func routeOrder(i, version int) *meshconfig.Order {
	return &meshconfig.Order{Op: meshconfig.OpPatch, Body: fmt.Appendf(nil, `{"add":{"items":[%s]}}`, routeItem(i, version))}
}

// routesOrder returns an order that sets a number of routes.
func routesOrder(first, number, version int) *meshconfig.Order {
	items := make([]string, number)
	for i := range items {
		items[i] = routeItem(first+i, version)
	}
	return &meshconfig.Order{Op: meshconfig.OpPatch, Body: fmt.Appendf(nil, `{"add":{"items":[%s]}}`, strings.Join(items, ","))}
}

// The cost of changing one route: for a control-plane node, which applies the change and sends a
// digest, and for an agent, which applies the step and compares the digest.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{300, 2000, 10000} {
		b.Run(fmt.Sprint("core/", routes), func(b *testing.B) {
			table := tableWithRoutes(b, routes)
			index := uint64(1)
			for b.Loop() {
				index++
				table.Apply(index, encodeOrder(routeOrder(int(index)%routes, int(index))))
				table.published.Load().config.Digest()
			}
		})
		b.Run(fmt.Sprint("agent/", routes), func(b *testing.B) {
			config := tableWithRoutes(b, routes).published.Load().config
			version := 1
			for b.Loop() {
				version++
				next, err := config.ApplyOrder(routeOrder(version%routes, version))
				require.NoError(b, err)
				next.Digest()
				config = next
			}
		})
		b.Run(fmt.Sprint("restore/", routes), func(b *testing.B) {
			snapshot := tableWithRoutes(b, routes).Snapshot()
			b.ReportMetric(float64(len(snapshot)), "bytes")
			for b.Loop() {
				require.NoError(b, newTable(func() {}).Restore(1, snapshot))
			}
		})
	}
}
