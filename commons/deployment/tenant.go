package deployment

// TenantConfig holds the construction parameters of a Tenant.
type TenantConfig struct {
	Name          string
	Keys          []string
	Priority      int      // priority of all its requests, in place of the route's, if HasPriority
	HasPriority   bool     // Priority is set
	CountsTokens  bool     // the quota counts tokens, else requests
	DefaultTokens int64    // number of tokens counted for a request that states none
	Rate          float64  // tokens or requests per second; zero for no limit
	Burst         float64  // tokens or requests that may be spent at once
	Homes         []string // regions in which requests may run; empty for any
}

// Tenant is one customer with its API keys, priority and quota.
type Tenant struct {
	config TenantConfig
}

// Name returns the tenant's name.
func (t Tenant) Name() string { return t.config.Name }

// Homes returns the regions in which the tenant's requests may run, none if they may run
// anywhere.
func (t Tenant) Homes() []string { return t.config.Homes }

// PriorityFor returns the priority of a request on a route with the given
// priority: the tenant's own if it has one, else the route's.
func (t Tenant) PriorityFor(priority int) int {
	if t.config.HasPriority {
		return t.config.Priority
	}
	return priority
}

// Quota returns the rate, in tokens or requests per second, and the burst. Both
// are zero if there is no limit.
func (t Tenant) Quota() (rate, burst float64) { return t.config.Rate, t.config.Burst }

// CountsTokens reports whether the quota counts tokens, else requests.
func (t Tenant) CountsTokens() bool { return t.config.CountsTokens }

// Cost returns the number of tokens or requests that a request counts against the
// quota. prompt and output are the tokens that it states, zero if it states none.
func (t Tenant) Cost(prompt, output int64) float64 {
	if !t.config.CountsTokens {
		return 1
	}
	if prompt+output == 0 {
		return float64(t.config.DefaultTokens)
	}
	return float64(prompt + output)
}
