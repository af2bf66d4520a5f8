package scheduler

import "sesamewell.example/commons/deployment"

const (
	// outputTokenWork is the work of one token of output in tokens of prompt: each takes
	// a step of the engine, while prompts are read many tokens at a time.
	outputTokenWork = 10
	plainWork       = 1    // work of a request to a service without an engine
	workWeight      = 0.02 // weight of one request in the averages of a service
)

// expectedWork returns the work that a request is expected to cost a backend server. A
// request that states no tokens counts as an average one of its service.
func (c *Core) expectedWork(req *openRequest) float64 {
	service, _ := c.configuration.Service(req.service)
	if _, engine := service.Engine(); !engine {
		return plainWork
	}
	work := float64(req.request.PromptTokens() + outputTokenWork*req.request.MaxOutputTokens())
	if work <= 0 {
		return c.weights.averages(req.service).work
	}
	return work
}

// serviceAverages are moving averages over the requests of a service that states them.
type serviceAverages struct {
	work   float64 // of a request
	tokens float64 // of a request, as quotas count them
	weight float64 // of customers that have a quota
}

// tenantWeights gives customers their weights in queues: the work that their quotas
// entitle them to in a second. Under contention each gets the same part of its quota.
type tenantWeights struct{ services map[string]*serviceAverages }

func newTenantWeights() *tenantWeights {
	return &tenantWeights{services: make(map[string]*serviceAverages)}
}

// averages returns the averages of a service.
func (w *tenantWeights) averages(service string) *serviceAverages {
	a, ok := w.services[service]
	if !ok {
		a = &serviceAverages{work: 1, tokens: 1, weight: 1}
		w.services[service] = a
	}
	return a
}

// observe updates the averages of a service with a request.
func (w *tenantWeights) observe(service string, tenant deployment.Tenant, work, tokens float64) {
	a, known := w.services[service]
	if !known {
		a = w.averages(service)
		a.work, a.tokens = work, max(tokens, 1)
		a.weight = w.entitled(a, tenant, 1)
		return
	}
	a.work += (work - a.work) * workWeight
	a.tokens += (max(tokens, 1) - a.tokens) * workWeight
	a.weight += (w.entitled(a, tenant, a.weight) - a.weight) * workWeight
}

// weight returns the weight of a customer in the queues of a service. One without a
// quota has that of an average customer.
func (w *tenantWeights) weight(service string, tenant deployment.Tenant) float64 {
	a := w.averages(service)
	return w.entitled(a, tenant, a.weight)
}

// entitled returns the work in a second that a customer's quota allows, and otherwise if
// it has none.
func (w *tenantWeights) entitled(a *serviceAverages, tenant deployment.Tenant, otherwise float64) float64 {
	rate, _ := tenant.Quota()
	switch {
	case rate <= 0:
		return otherwise
	case tenant.CountsTokens():
		return rate * a.work / a.tokens
	default:
		return rate * a.work
	}
}
