package limit

// Mix counts who has asked of late.
type Mix struct {
	seen []float64
	sum  float64
}

// NewMix returns a Mix of so many tenants.
func NewMix(tenants int) Mix { return Mix{seen: make([]float64, tenants)} }

// Count adds a request and returns its tenant's and all; both are halved after so many.
func (m *Mix) Count(tenant int, life float64) (seen, sum float64) {
	m.seen[tenant]++
	if m.sum++; m.sum > life {
		m.sum /= 2
		for i := range m.seen {
			m.seen[i] /= 2
		}
	}
	return m.seen[tenant], m.sum
}
