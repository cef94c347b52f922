package outbound

import (
	"net/http"
	"strings"

	"example.org/micaline/internal/mesh/inbound"
)

const (
	keyHeader = "Authorization" // carries a customer's API key
	keyScheme = "Bearer "
)

// tenant is the customer for whom a request runs, and the request's priority. The name is empty for
// a request without a customer.
type tenant struct {
	name string
	rank int
}

// authenticate finds the tenant of a request. If that fails it responds and returns false. Where
// the configuration has customers, a request needs the key of one of them. The exceptions are
// public routes and inner requests, which run for the tenant of the run that made them.
func (s *Sender) authenticate(w *responseRecorder, r *http.Request) bool {
	w.parent = s.localGate.FindParent(r.Header.Get(inbound.TryIDHeader))
	w.tenant = tenant{rank: w.route.Rank}
	if !w.view.Config.HasCustomers() {
		return true
	}
	switch customer := w.view.Config.CustomerByKey(apiKey(r.Header)); {
	case customer != nil:
		w.tenant.name = customer.Name
		if customer.HasRank {
			w.tenant.rank = customer.Rank
		}
	case w.parent.Known:
		w.tenant.name = w.parent.Customer
	case w.route.Public:
	case isOrphanedCall(r):
		s.respondRefused(w, unknownConfigRetryAfter)
		return false
	default:
		s.Counters.Unauthenticated.Add(1)
		w.Header().Set("WWW-Authenticate", strings.TrimSpace(keyScheme))
		s.respondText(w, http.StatusUnauthorized, "no key of a customer")
		return false
	}
	return true
}

// apiKey returns the key that a request brings, empty if there is none.
func apiKey(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get(keyHeader), keyScheme)
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// isOrphanedCall reports whether a request looks like an inner one whose run is unknown because the
// process that handed the run over has ended. Such a request has no key; it is refused, with a
// Retry-After, rather than rejected as unauthenticated.
func isOrphanedCall(r *http.Request) bool {
	return r.Header.Get(keyHeader) == "" && strings.Contains(r.Header.Get(inbound.TryIDHeader), ".")
}
