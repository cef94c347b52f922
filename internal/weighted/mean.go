package weighted

// Mean is an exponentially weighted moving average; its first sample is taken whole. The zero value
// knows nothing.
type Mean struct {
	V     float64
	Known bool
}

// Add takes in a sample, of a weight from 0 to 1.
func (m *Mean) Add(x, weight float64) {
	if !m.Known {
		m.V, m.Known = x, true
	}
	m.V += weight * (x - m.V)
}
