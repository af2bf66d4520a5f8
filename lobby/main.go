// Command sesamewell-lobby is an entry that accepts callers' requests and
// forwards them to backend servers directly, without sides in between.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
)

func main() {
	os.Exit(crew.Main(crew.Program{
		Name:     "sesamewell-lobby",
		Summary:  "sesamewell-lobby takes callers' requests, checks their keys and quotas, and sends each to a backend server that can run it.",
		Settings: handbook.LobbyOptions(),
		Build: func(settings *handbook.Values, log *logrus.Entry) (crew.Root, error) {
			return newProcess(settings, log), nil
		},
	}))
}
