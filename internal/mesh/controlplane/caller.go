package controlplane

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"example.org/micaline/internal/tcp"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// dropAbandoned serves a request only if its client is still connected.
//
// While this process is paused, its kernel still accepts requests, and their clients move on to
// other control-plane nodes. An evacuation that waited here could evacuate a zone again that was
// evacuated and returned through another node in the meantime. Evacuations have no versions that
// would show which one is older.
func dropAbandoned(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(syscall.Conn); ok && tcp.Ended(conn) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
