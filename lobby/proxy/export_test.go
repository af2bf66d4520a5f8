package proxy

// Connections returns the numbers of connections of callers and to backend servers, as of the
// last check for timeouts.
func (p *Proxy) Connections() (callers, backends int) {
	return int(p.stats.callers.Load()), int(p.stats.backends.Load())
}
