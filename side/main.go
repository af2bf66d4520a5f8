// Command sesamewell-side runs beside one backend server. It queues the attempts
// of entries, runs them, and buffers their answers.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
)

func main() {
	os.Exit(crew.Main(crew.Program{
		Name:     "sesamewell-side",
		Summary:  "sesamewell-side runs beside one backend server: it queues the requests for it and keeps their answers until the entry has them.",
		Settings: handbook.SideOptions(),
		Build: func(settings *handbook.Values, log *logrus.Entry) (crew.Root, error) {
			return newProcess(settings, log)
		},
	}))
}
