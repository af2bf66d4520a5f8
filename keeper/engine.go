package main

import (
	"sesamewell.example/commons/charter"
	"sesamewell.example/platform"
)

// engine adapts the platform's client of a backend server to loader.Engine.
type engine struct {
	client *platform.Engine
}

// State requests the engine's state.
func (e engine) State() (charter.State, error) { return e.client.State() }

// Execute sends an order and reports whether the engine accepted it.
func (e engine) Execute(order charter.Order) (bool, error) {
	outcome, err := e.client.Order(order)
	return err == nil && outcome != platform.Refused, err
}
