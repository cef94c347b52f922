package scaletest

import (
	"testing"

	"example.org/micaline/internal/mesh/meshconfig"
	"github.com/stretchr/testify/require"
)

// Each call is valid and each change changes something, however many follow.
func TestBookIsValid(t *testing.T) {
	b := newBook(20, 33)
	config := meshconfig.New()
	for n, body := 0, b.first(); n < 100; n, body = n+1, b.change() {
		next, err := config.Carry(&meshconfig.Order{Op: meshconfig.OpPatch, Body: body})
		require.NoError(t, err)
		require.NotSame(t, config, next)
		config = next
	}
	require.Len(t, config.Services(), 20)
	require.Len(t, config.Routes(), 33)
}
