// Command sesamewell-lobby accepts callers' requests and forwards them to backend
// servers directly, without sides in between.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/supervisor"
)

func main() {
	os.Exit(supervisor.Main(supervisor.Program{
		Name:     "sesamewell-lobby",
		Summary:  "sesamewell-lobby takes callers' requests, checks their keys and quotas, and sends each to a backend server that can run it.",
		Settings: inifile.LobbySettings(),
		Build: func(settings *inifile.Values, log *logrus.Entry) (supervisor.Root, error) {
			return newProcess(settings, log)
		},
	}))
}
