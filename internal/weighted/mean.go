package weighted

// Mean is an exponentially weighted moving average. The first sample sets it. The zero value knows
// nothing.
type Mean struct {
	Value float64
	Known bool
}

// Add adds a sample with a weight from 0 to 1.
func (m *Mean) Add(x, weight float64) {
	if !m.Known {
		m.Value, m.Known = x, true
	}
	m.Value += weight * (x - m.Value)
}
