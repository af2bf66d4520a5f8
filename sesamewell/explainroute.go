package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/admin"
	"sesamewell.example/sesamewell/inspect"
)

// routeSubject selects explainRoute in place of a request or a model.
const routeSubject = "route"

// describesRequest reports whether the arguments describe a request that has not been
// sent.
func (o explainOptions) describesRequest() bool {
	texts := o.Ask + o.Route + o.Host + o.Path + o.Customer + o.Model + o.Adapter
	return texts != "" || len(o.Parts) > 0 || o.JSON
}

// explainRoute prints where a running lobby would route a request that has not been sent.
func explainRoute(out io.Writer, args explainOptions) error {
	query := admin.RouteQuery{Route: args.Route, Host: args.Host, Path: args.Path, Customer: args.Customer, Model: args.Model, Adapter: args.Adapter, Parts: args.Parts}
	encoded, err := query.Encode()
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	if args.Ask == "" {
		return errors.Mark(errors.New("name the operators' address of a lobby with --ask"), errUsage)
	}
	var report admin.RouteReport
	if err := inspect.Fetch(args.Ask, admin.RoutePath+"?"+encoded, &report); err != nil {
		if errors.Is(err, inspect.ErrBadQuery) {
			return errors.Mark(err, errUsage)
		}
		return err
	}
	if args.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return printRoute(out, report)
}

// printRoute prints a report as text: the choice for each service or the refusal, then a
// table of the backend servers, if the report has any.
func printRoute(out io.Writer, report admin.RouteReport) error {
	printChoices(out, report)
	if report.Refused != "" && len(report.Backends) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BACKEND\tDOMAIN\tOPEN\tCACHED\tAGE\tRANK\tWAIT\tPREFILL\tADAPTER\tLINK\tLOAD\tEVICTED\tFIRST TOKEN\tCOST\tEXCLUDED BY")
	for _, b := range report.Backends {
		fmt.Fprintf(table, "%s\t%s\t%d/%d\t%d\t%.0f ms\t", b.Backend, b.Domain, b.Open, b.Slots, b.Cached, b.CacheAge)
		if b.Excluded != "" {
			fmt.Fprintf(table, "-\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", b.Excluded)
			continue
		}
		fmt.Fprintf(table, "%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", b.Rank, b.Wait, b.Prefill, b.Adapter, b.Link, b.Load, b.Evicted, b.FirstToken, b.Cost)
	}
	return table.Flush()
}

// printChoices prints which backend server each service would choose, or the cause of a
// refusal.
func printChoices(out io.Writer, report admin.RouteReport) {
	if report.Refused != "" {
		fmt.Fprintf(out, "A request on route %s would be refused: %s.\n", report.Route, report.Refused)
		return
	}
	for _, service := range routeServices(report) {
		if choice, ok := report.Choices[service]; ok {
			fmt.Fprintf(out, "On route %s, service %s: to %s.\n", report.Route, service, choice)
			continue
		}
		fmt.Fprintf(out, "On route %s, service %s: no backend server can take it now; it would wait or be refused.\n", report.Route, service)
	}
}

// routeServices returns the names of the services in a report, sorted.
func routeServices(report admin.RouteReport) []string {
	services := make(map[string]bool)
	for _, b := range report.Backends {
		services[b.Service] = true
	}
	return slices.Sorted(maps.Keys(services))
}
