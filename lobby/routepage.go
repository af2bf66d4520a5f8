package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/admin"
	"sesamewell.example/commons/ring"
	"sesamewell.example/lobby/scheduler"
)

// explainTimeout is the longest wait for room in the scheduler's inbox, and for its
// explanation. The other operators' pages wait meanwhile.
const explainTimeout = 500 * time.Millisecond

// routePage tells operators where a request would be routed. The scheduler, which
// decides on requests, answers.
type routePage struct{ scheduler *ring.Ring }

// Answer returns the report for a query.
func (p routePage) Answer(args *fasthttp.Args) (any, error) {
	query, err := admin.DecodeRouteQuery(args)
	if err != nil {
		return nil, err
	}
	parts, err := query.PromptParts()
	if err != nil {
		return nil, err
	}
	config := scheduler.QueryConfig{Route: query.Route, Host: query.Host, Path: query.Path, Customer: query.Customer, Model: query.Model, Adapter: query.Adapter, Parts: parts}
	for _, part := range parts {
		config.PromptTokens += part.Tokens()
	}
	reply := make(chan scheduler.Explanation, 1)
	if err := p.scheduler.PutWithin(context.Background(), scheduler.NewExplain(scheduler.NewQuery(config), reply), explainTimeout); err != nil {
		return nil, errors.Wrap(err, "ask the scheduler")
	}
	select {
	case explanation := <-reply:
		return reportOf(explanation.Config())
	case <-time.After(explainTimeout):
		return nil, errors.New("the scheduler does not answer")
	}
}

// reportOf returns the content of the page for an explanation.
func reportOf(e scheduler.ExplanationConfig) (any, error) {
	if e.Fault != "" {
		return nil, errors.Mark(errors.New(e.Fault), admin.ErrBadQuery)
	}
	report := admin.RouteReport{Route: e.Route, Refused: string(e.Refused), Choices: e.Choices, Backends: []admin.BackendReport{}}
	for _, candidate := range e.Candidates {
		report.Backends = append(report.Backends, backendReport(candidate.Config()))
	}
	return report, nil
}

func backendReport(c scheduler.CandidateReportConfig) admin.BackendReport {
	report := admin.BackendReport{
		Service: c.Service, Backend: c.Backend, Domain: c.Domain, Excluded: string(c.Excluded), Open: c.Open, Slots: c.Slots,
		Cached: c.Cached, CacheAge: milliseconds(c.CacheAge), Prefilling: milliseconds(c.Prefilling), Prefill: milliseconds(c.Prefill), Ratio: c.Ratio,
	}
	if c.Excluded == "" {
		route := c.Route.Config()
		report.Rank, report.Wait, report.Adapter, report.Link = route.Rank, milliseconds(route.Wait), milliseconds(route.Adapter), milliseconds(route.Link)
		report.Load, report.Evicted = milliseconds(route.Load), milliseconds(route.Evicted)
		report.FirstToken, report.Cost = milliseconds(c.Route.FirstToken()), milliseconds(c.Route.Cost())
	}
	return report
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
