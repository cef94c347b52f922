package policy

// Allow says from now on how many attempts a request may have, whether two may be out at once, and whether probes are
// allowed, in place of what the settings say. Nothing that is under way is taken back. It must not allow what the
// deployment forbids.
func (b *Balancer) Allow(maxAttempts int, secondCopies, probes bool) {
	b.set.MaxAttempts, b.set.SecondCopies, b.set.Probes = max(1, maxAttempts), secondCopies, probes
}
