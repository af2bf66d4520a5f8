package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/sesamewell/inspect"
	"sesamewell.example/sesamewell/publish"
)

// errRequestNotFound means that no instance has spans of the request.
var errRequestNotFound = errors.New("no instance remembers this request: its id is wrong, it was not sampled, or it is older than the kept spans")

// explain prints what happened to a request, or which instances serve a model.
func explain(out io.Writer, args options) error {
	publisher := publish.New(logclient.New(logclient.Config{Address: args.Log, Timeout: args.Timeout}))
	if err := publisher.Refresh(); err != nil {
		return err
	}
	inventory := publisher.Revision().Inventory()
	addresses := operatorAddresses(inventory)
	if model, ok := inventory.ModelFor(args.Explain.Subject); ok {
		return explainModel(out, args.Explain.Subject, model, inventory)
	}
	spans, err := inspect.RequestSpans(args.Explain.Subject, addresses)
	if len(spans) == 0 {
		return errors.CombineErrors(errors.WithStack(errRequestNotFound), err)
	}
	fmt.Fprintln(out, inspect.Summarize(spans))
	inspect.PrintTree(out, spans)
	return err
}

func explainModel(out io.Writer, name string, model fleetstate.Model, inventory *fleetstate.Inventory) error {
	fmt.Fprintf(out, "%s is served by the model %s, which takes %d bytes and %d bytes of cache.\n", name, model.Name(), model.Memory(), model.Cache())
	for _, instance := range inventory.Instances() {
		backend, ok := inventory.Backend(instance.Backend())
		if !ok || backend.Kind() != fleetstate.Engine || instance.Operator() == "" {
			continue
		}
		line, err := inspect.SideStatus(instance.Operator())
		if err != nil {
			line = "does not answer"
		}
		fmt.Fprintf(out, "%s (%s, %s): %s\n", instance.Name(), backend.Name(), instance.Domain(), line)
	}
	return nil
}

// operatorAddresses returns the addresses of all operators' pages in the
// inventory.
func operatorAddresses(inventory *fleetstate.Inventory) []string {
	var addresses []string
	for _, instance := range inventory.Instances() {
		if instance.Operator() != "" {
			addresses = append(addresses, instance.Operator())
		}
	}
	return addresses
}
