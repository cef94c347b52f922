package controlplane

import (
	"context"
	"net/http"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/meshconfig"
)

// backups is the state as of now, as a file.
type backups struct{ c *Core }

func (h *backups) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		only(w, "GET")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerIn)
	defer cancel()
	b, err := h.c.node.Backup(ctx)
	if err != nil {
		problem(w, statusOf(err), err.Error())
		return
	}
	file, err := b.Encode()
	if err != nil {
		problem(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(file)
}

// Replay is the state that a backup holds: as the agreement's table, and its configuration.
func Replay(b *consensus.Backup) (consensus.Table, *meshconfig.Config, error) {
	t := newTable(func() {})
	if err := b.Replay(t); err != nil {
		return nil, nil, err
	}
	return t, t.now.Load().config, nil
}
