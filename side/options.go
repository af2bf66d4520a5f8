package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/version"
)

// options are the arguments of the command line.
type options struct {
	Settings string `arg:"positional,required" placeholder:"FILE" help:"settings file in INI form"`
}

// Version returns the line that --version prints.
func (options) Version() string { return "sesamewell-side " + version.Number }

// Description returns the first paragraph of the help.
func (options) Description() string {
	return "sesamewell-side runs beside one backend server: it queues the requests for it and keeps their answers until the entry has them."
}

// Epilogue returns the last paragraph of the help.
func (options) Epilogue() string {
	return "Example: sesamewell-side /etc/sesamewell/side-1.ini\nExit codes: 0 stopped as asked, 1 failed, 2 bad arguments or settings."
}

func loadSettings(path string) (*handbook.Values, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return handbook.Settings(path, text, handbook.SideOptions())
}
