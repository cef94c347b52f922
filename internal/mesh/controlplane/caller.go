package controlplane

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"example.org/micaline/internal/tcp"
)

// connectionKey is where a request's context holds its connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// forPresent serves a call whose caller still waits, and drops any other.
//
// Danger: while this process stood still its kernel took calls, and their callers went on to other
// core machines. A zone that was emptied there and taken back since would be emptied again by the
// call that waited here, as evacuations have no versions to tell which is old.
func forPresent(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(syscall.Conn); ok && tcp.Ended(c) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
