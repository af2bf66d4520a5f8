package main

import (
	"sesamewell.example/commons/deployment"
	"sesamewell.example/platform"
)

// engine adapts the platform's client of a backend server to loader.Engine.
type engine struct {
	client *platform.EngineClient
}

// State requests the engine's state.
func (e engine) State() (deployment.EngineState, error) { return e.client.State() }

// Execute sends an order and reports whether the engine accepted it.
func (e engine) Execute(order deployment.Order) (bool, error) {
	outcome, err := e.client.Execute(order)
	return err == nil && outcome != platform.Refused, err
}
