package main

import (
	"sesamewell.example/keeper/warden"
	"sesamewell.example/platform"
)

// engine joins the warden to the platform's client of a backend server.
type engine struct {
	client *platform.Engine
}

// State asks for the engine's state.
func (e engine) State() (warden.State, error) {
	report, err := e.client.Report()
	return warden.State(report), err
}

// Give gives an order.
func (e engine) Give(order warden.Order) (bool, error) {
	outcome, err := e.client.Order(platform.Order(order))
	return err == nil && outcome != platform.Refused, err
}
