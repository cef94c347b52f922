package limit

// Mix counts who has asked of late.
type TenantMix struct {
	seen []float64
	sum  float64
}

// NewMix returns a Mix of so many tenants.
func NewTenantMix(tenants int) TenantMix { return TenantMix{seen: make([]float64, tenants)} }

const (
	mixPrior = 10.0 // requests' worth of belief in the stated shares
	mixLife  = 200  // requests over which the mix is remembered
)

// Over counts a request and returns its tenant's part of the recent ones over the share that it is due.
func (m *TenantMix) AddRequest(tenant int, portion float64) float64 {
	m.seen[tenant]++
	if m.sum++; m.sum > mixLife {
		m.sum /= 2
		for i := range m.seen {
			m.seen[i] /= 2
		}
	}
	return (m.seen[tenant] + mixPrior*portion) / (m.sum + mixPrior) / portion
}
