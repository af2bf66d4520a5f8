// Command sesamewell-entry accepts callers' requests and routes them to the sides
// of backend servers.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/supervisor"
)

func main() {
	os.Exit(supervisor.Main(supervisor.Program{
		Name:     "sesamewell-entry",
		Summary:  "sesamewell-entry takes callers' requests, checks their keys and limits, and passes each request to a side that can run it.",
		Settings: inifile.EntrySettings(),
		Build: func(settings *inifile.Values, log *logrus.Entry) (supervisor.Root, error) {
			return newProcess(settings, log)
		},
	}))
}
