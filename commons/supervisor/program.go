package supervisor

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/logging"
	"sesamewell.example/commons/version"
)

// Program describes a long-running program that reads one settings file.
type Program struct {
	Name     string
	Summary  string // first paragraph of the help
	Settings []inifile.Setting
	Build    func(settings *inifile.Values, log *logrus.Entry) (Root, error)
}

// arguments are the command-line arguments of a Program.
type arguments struct {
	Settings string `arg:"positional,required,env:SESAMEWELL_CONFIG" placeholder:"FILE" help:"settings file in INI form"`

	program Program
}

// Version returns the text that --version prints.
func (a *arguments) Version() string { return a.program.Name + " " + version.Number }

// Description returns the first paragraph of the help.
func (a *arguments) Description() string { return a.program.Summary }

// Epilogue returns the last paragraph of the help.
func (a *arguments) Epilogue() string {
	return "Example: " + a.program.Name + " /etc/sesamewell/" + a.program.Name + ".ini\n" +
		"Exit codes: 0 stopped as asked, 1 failed, 2 bad arguments or settings."
}

// Main runs a program with the arguments of the process and returns its exit
// code. Errors in the arguments or settings are written to standard error.
func Main(program Program) int {
	args := &arguments{program: program}
	arg.MustParse(args)
	settings, err := readSettings(args.Settings, program.Settings)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	writer := logging.NewAsyncWriter(os.Stdout)
	log, err := logging.New(logging.Config{
		Output:   writer,
		Level:    settings.Text("process", "log-level"),
		Program:  program.Name,
		Instance: settings.Text("process", "instance"),
	})
	if err != nil {
		return usageError(os.Stderr, err)
	}
	root, err := program.Build(settings, log)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	return Run(RunConfig{
		Root: root, DrainLimit: settings.Duration("process", "drain-limit"), Log: log, LogWriter: writer,
		SettingsFile: newSettingsFile(args.Settings, program, settings, log),
	})
}

// settingsFile detects changes of a settings file and reloads it.
type settingsFile struct {
	path    string
	program Program
	current *inifile.Values // settings with which the program was started
	log     *logrus.Entry
	stamp   string // modification time and size of the file at the last check
}

func newSettingsFile(path string, program Program, settings *inifile.Values, log *logrus.Entry) *settingsFile {
	f := &settingsFile{path: path, program: program, current: settings, log: log.WithField("event", "reload")}
	f.Changed()
	return f
}

// Changed reports whether the modification time or the size of the file differs
// from the previous call.
func (f *settingsFile) Changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false // the file may be in the middle of a replacement; the settings stay as they are
	}
	previous := f.stamp
	f.stamp = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	return f.stamp != previous
}

// Reload reads the file again. A new log level takes effect at once; the names
// of other changed settings are logged, and they take effect at the next start.
func (f *settingsFile) Reload() {
	settings, err := readSettings(f.path, f.program.Settings)
	if err != nil {
		f.log.WithError(err).Error("settings are kept as they were")
		return
	}
	level, err := logrus.ParseLevel(settings.Text("process", "log-level"))
	if err != nil {
		f.log.WithError(err).Error("settings are kept as they were")
		return
	}
	f.log.Logger.SetLevel(level)
	f.log.WithField("next_start", strings.Join(settings.Differences(f.current), ",")).Info("settings reloaded")
}

func readSettings(path string, declared []inifile.Setting) (*inifile.Values, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return inifile.ParseSettings(path, text, declared)
}

func usageError(out io.Writer, err error) int {
	fmt.Fprintln(out, err)
	return ExitUsage
}
