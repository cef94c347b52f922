package meshmetrics

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTable(t *testing.T) {
	seen := map[string]bool{}
	for _, m := range Metrics {
		require.False(t, seen[m.Name], m.Name)
		seen[m.Name] = true
		require.Equal(t, m.Kind == Counter, strings.HasSuffix(m.Name, "_total"), m.Name)
	}
	require.Panics(t, func() { new(Set).Add("micaline_mesh_core_role", 1) }, "a figure without its labels")
	page, err := os.ReadFile("../../../docs/mesh-tools.md")
	require.NoError(t, err)
	require.Contains(t, string(page), Table(), "print it anew: go run ./cmd/micaline-exporter metrics")
}
