// Command sesamewell-keeper runs beside one backend server and has it load models
// and adapters.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
)

func main() {
	os.Exit(crew.Main(crew.Program{
		Name:     "sesamewell-keeper",
		Summary:  "sesamewell-keeper runs beside one backend server: it has the backend server load the models of the plan and the adapters that requests need.",
		Settings: handbook.KeeperOptions(),
		Build: func(settings *handbook.Values, log *logrus.Entry) (crew.Root, error) {
			return newProcess(settings, log), nil
		},
	}))
}
