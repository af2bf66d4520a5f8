package deployment

// TenantConfig holds the construction parameters of a Tenant.
type TenantConfig struct {
	Name          string
	Keys          []string
	Priority      int     // rank of all its requests; goes before the route's if Ranked
	HasPriority   bool    // Priority is set
	CountsTokens  bool    // the quota counts tokens, else requests
	DefaultTokens int64   // tokens of a request that states none
	Rate          float64 // per second; zero for no limit
	Burst         float64
}

// Tenant is responsible for one customer's keys and quota.
type Tenant struct {
	config TenantConfig
}

// Name returns the tenant's name.
func (t Tenant) Name() string { return t.config.Name }

// Rank returns the tenant's own rank for a request of the given priority.
func (t Tenant) PriorityFor(priority int) int {
	if t.config.HasPriority {
		return t.config.Priority
	}
	return priority
}

// Quota returns the tenant's rate per second and burst. Without a limit both
// are zero.
func (t Tenant) Quota() (rate, burst float64) { return t.config.Rate, t.config.Burst }

// Cost returns what a request counts against the quota. A request that states
// no tokens has zero of both.
func (t Tenant) Cost(prompt, output int64) float64 {
	if !t.config.CountsTokens {
		return 1
	}
	if prompt+output == 0 {
		return float64(t.config.DefaultTokens)
	}
	return float64(prompt + output)
}
