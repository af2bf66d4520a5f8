// Command sesamewell-keeper runs beside one backend server and orders it to load
// and unload models and adapters.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/supervisor"
)

func main() {
	os.Exit(supervisor.Main(supervisor.Program{
		Name:     "sesamewell-keeper",
		Summary:  "sesamewell-keeper runs beside one backend server: it has the backend server load the models of the plan and the adapters that requests need.",
		Settings: inifile.KeeperSettings(),
		Build: func(settings *inifile.Values, log *logrus.Entry) (supervisor.Root, error) {
			return newProcess(settings, log), nil
		},
	}))
}
