// Command sesamewell-side runs beside one backend server. It queues the attempts
// of entries, runs them, and buffers their answers.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/supervisor"
)

func main() {
	os.Exit(supervisor.Main(supervisor.Program{
		Name:     "sesamewell-side",
		Summary:  "sesamewell-side runs beside one backend server: it queues the requests for it and keeps their answers until the entry has them.",
		Settings: inifile.SideSettings(),
		Build: func(settings *inifile.Values, log *logrus.Entry) (supervisor.Root, error) {
			return newProcess(settings, log)
		},
	}))
}
