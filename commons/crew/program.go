package crew

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/chronicle"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/version"
)

// Program describes a long-running program that is configured by one settings
// file.
type Program struct {
	Name     string
	Summary  string // first paragraph of the help
	Settings []handbook.Setting
	Build    func(settings *handbook.Values, log *logrus.Entry) (Root, error)
}

// arguments are the command line of a Program.
type arguments struct {
	Settings string `arg:"positional,required,env:SESAMEWELL_CONFIG" placeholder:"FILE" help:"settings file in INI form"`

	program Program
}

// Version returns the line that --version prints.
func (a *arguments) Version() string { return a.program.Name + " " + version.Number }

// Description returns the first paragraph of the help.
func (a *arguments) Description() string { return a.program.Summary }

// Epilogue returns the last paragraph of the help.
func (a *arguments) Epilogue() string {
	return "Example: " + a.program.Name + " /etc/sesamewell/" + a.program.Name + ".ini\n" +
		"Exit codes: 0 stopped as asked, 1 failed, 2 bad arguments or settings."
}

// Main runs a program with the process's arguments and returns its exit code.
// Faults in arguments or settings are written to standard error.
func Main(program Program) int {
	args := &arguments{program: program}
	arg.MustParse(args)
	settings, err := readSettings(args.Settings, program.Settings)
	if err != nil {
		return usage(os.Stderr, err)
	}
	spool := chronicle.NewSpool(os.Stdout)
	log, err := chronicle.New(chronicle.Config{
		Output:   spool,
		Level:    settings.Text("process", "log-level"),
		Program:  program.Name,
		Instance: settings.Text("process", "instance"),
	})
	if err != nil {
		return usage(os.Stderr, err)
	}
	root, err := program.Build(settings, log)
	if err != nil {
		return usage(os.Stderr, err)
	}
	return Run(RunConfig{
		Root: root, DrainLimit: settings.Duration("process", "drain-limit"), Log: log, Spool: spool,
		Changed: fileWatch(args.Settings),
		Reload:  func() { reload(args.Settings, program, settings, log) },
	})
}

// fileWatch returns a function that reports whether a file has changed since it
// was last called.
func fileWatch(path string) func() bool {
	var last string
	look := func() string {
		info, err := os.Stat(path)
		if err != nil {
			return last // it may be on its way; what was read before stays
		}
		return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	}
	last = look()
	return func() bool {
		before := last
		last = look()
		return last != before
	}
}

// reload reads the settings again. The log level changes at once; other settings
// that differ are named and take effect at the next start.
func reload(path string, program Program, before *handbook.Values, log *logrus.Entry) {
	log = log.WithField("event", "reload")
	settings, err := readSettings(path, program.Settings)
	if err != nil {
		log.WithError(err).Error("settings are kept as they were")
		return
	}
	level, err := logrus.ParseLevel(settings.Text("process", "log-level"))
	if err != nil {
		log.WithError(err).Error("settings are kept as they were")
		return
	}
	log.Logger.SetLevel(level)
	log.WithField("next_start", strings.Join(settings.Differences(before), ",")).Info("settings read again")
}

func readSettings(path string, declared []handbook.Setting) (*handbook.Values, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return handbook.Settings(path, text, declared)
}

func usage(out io.Writer, err error) int {
	fmt.Fprintln(out, err)
	return ExitUsage
}
