package scheduler

// Absences returns the number of models, and of services, that are remembered as absent.
func (c *Core) Absences() int { return len(c.forecast.absences) }

// Names returns the number of names under which something is kept, of services, routes, customers,
// models and backend servers that leave.
func (c *Core) Names() int {
	return len(c.budgets) + len(c.shares) + len(c.runTimes) + len(c.weights.services) + len(c.answers.routes) +
		len(c.callerAges.full) + len(c.estimator.perToken) + len(c.models) + len(c.forecast.absences) + len(c.departed)
}
