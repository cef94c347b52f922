package controlplane

import (
	"context"
	"net/http"

	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/meshconfig"
)

// backupHandler serves GET /api/backup: the current state as a file.
type backupHandler struct{ core *Core }

func (h *backupHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		methodNotAllowed(w, "GET")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	backup, err := h.core.node.Backup(ctx)
	if err != nil {
		writeProblem(w, statusFor(err), err.Error())
		return
	}
	file, err := backup.Encode()
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(file)
}

// Replay restores a backup and returns its state and its configuration.
func Replay(backup *consensus.Backup) (consensus.Table, *meshconfig.Config, error) {
	restored := newTable(func() {})
	if err := backup.Replay(restored); err != nil {
		return nil, nil, err
	}
	return restored, restored.published.Load().config, nil
}
