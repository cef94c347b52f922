package limit

// TenantMix counts the recent requests of each tenant.
type TenantMix struct {
	requests []float64
	total    float64
}

// NewTenantMix returns a TenantMix of the given number of tenants.
func NewTenantMix(tenants int) TenantMix { return TenantMix{requests: make([]float64, tenants)} }

const (
	priorRequests = 10.0 // weight of the guaranteed shares, in requests
	maxRequests   = 200  // counts are halved beyond this many
)

// AddRequest counts a request and returns the tenant's share of the recent requests over its
// guaranteed share.
func (m *TenantMix) AddRequest(tenant int, portion float64) float64 {
	m.requests[tenant]++
	if m.total++; m.total > maxRequests {
		m.total /= 2
		for i := range m.requests {
			m.requests[i] /= 2
		}
	}
	return (m.requests[tenant] + priorRequests*portion) / (m.total + priorRequests) / portion
}
