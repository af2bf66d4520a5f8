// Command sesamewell-entry accepts callers' requests and routes them to the sides
// of backend servers.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
)

func main() {
	os.Exit(crew.Main(crew.Program{
		Name:     "sesamewell-entry",
		Summary:  "sesamewell-entry takes callers' requests, checks their keys and limits, and passes each request to a side that can run it.",
		Settings: handbook.EntryOptions(),
		Build: func(settings *handbook.Values, log *logrus.Entry) (crew.Root, error) {
			return newProcess(settings, log)
		},
	}))
}
