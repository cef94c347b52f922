package outbound

import (
	"net/http"
	"strings"

	"example.org/micaline/internal/mesh/inbound"
)

const (
	keyHeader = "Authorization" // that brings a tenant's key
	keyScheme = "Bearer "
)

// tenant is for whom a request runs, and how urgent it is. The zero value is nobody.
type tenant struct {
	name string
	rank int
}

// authenticate finds out for whom a request runs, or answers it. Where the configuration has
// customers a request needs the key of one, but for those of public routes and those that a backend
// makes for a run of its own, which are its tenant's.
func (s *Sender) authenticate(w *answered, r *http.Request) bool {
	w.parent = s.host.FindParent(r.Header.Get(inbound.TryIDHeader))
	w.tenant = tenant{rank: w.route.Rank}
	if !w.view.Config.HasCustomers() {
		return true
	}
	switch customer := w.view.Config.CustomerOf(keyOf(r.Header)); {
	case customer != nil:
		w.tenant.name = customer.Name
		if customer.Ranked {
			w.tenant.rank = customer.Rank
		}
	case w.parent.Known:
		w.tenant.name = w.parent.Customer
	case w.route.Public:
	case isCall(r):
		s.refuse(w, unknownYet)
		return false
	default:
		s.Count.Unknown.Add(1)
		w.Header().Set("WWW-Authenticate", strings.TrimSpace(keyScheme))
		s.say(w, http.StatusUnauthorized, "no key of a customer")
		return false
	}
	return true
}

// keyOf is the key that a request brings, empty if it brings none.
func keyOf(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get(keyHeader), keyScheme)
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// isCall says whether a request is a call of a backend's run that is not known, as the process that
// handed it over has ended since. It brings no key, and is refused without a word on that.
func isCall(r *http.Request) bool {
	return r.Header.Get(keyHeader) == "" && strings.Contains(r.Header.Get(inbound.TryIDHeader), ".")
}
