package main

import (
	"sesamewell.example/commons/charter"
	"sesamewell.example/platform"
)

// engine joins the warden to the platform's client of a backend server.
type engine struct {
	client *platform.Engine
}

// State asks for the engine's state.
func (e engine) State() (charter.State, error) { return e.client.State() }

// Give gives an order.
func (e engine) Execute(order charter.Order) (bool, error) {
	outcome, err := e.client.Order(order)
	return err == nil && outcome != platform.Refused, err
}
