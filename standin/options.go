package main

import (
	"time"

	"sesamewell.example/commons/version"
)

// options holds the command-line arguments. Flag names are derived from the
// field names.
type options struct {
	Engine  *engineOptions  `arg:"subcommand:engine" help:"a model engine"`
	Service *serviceOptions `arg:"subcommand:service" help:"a plain service that takes bookings"`
	Store   *storeOptions   `arg:"subcommand:store" help:"the rate-limited weight store"`
	Log     *logOptions     `arg:"subcommand:log" help:"the append-only log service"`
	List    *listOptions    `arg:"subcommand:list" help:"the lagging list of instances"`
}

// engineOptions holds the arguments of the engine subcommand.
type engineOptions struct {
	Listen string        `arg:"required" placeholder:"IP:PORT" help:"address to listen on"`
	Name   string        `default:"engine" help:"name in traces and logs"`
	Step   time.Duration `default:"20ms" help:"time between two tokens of one answer"`

	Memory  int64  `default:"85899345920" help:"bytes of accelerator memory"`
	Fencing bool   `help:"refuse orders with an old fencing number"`
	Preload bool   `help:"run requests for every model, loaded or not"`
	CrashOn string `arg:"--crash-on" placeholder:"TEXT" help:"exit with code 3 when a request's body contains the text"`
	Store   string `placeholder:"IP:PORT" help:"address of the weight store; without it loads take no time"`
}

// serviceOptions holds the arguments of the service subcommand.
type serviceOptions struct {
	Listen string `arg:"required" placeholder:"IP:PORT" help:"address to listen on"`
	Name   string `default:"service" help:"name in logs"`
}

// storeOptions holds the arguments of the store subcommand.
type storeOptions struct {
	Listen     string  `arg:"required" placeholder:"IP:PORT" help:"address to listen on"`
	Rate       float64 `default:"3" help:"loads begun per second"`
	Concurrent int     `default:"11" help:"loads at once at full speed"`

	Length      time.Duration `default:"500ms" help:"time of one load at full speed"`
	Adapters    int           `default:"90" help:"loads of adapters at once at full speed"`
	AdapterTime time.Duration `default:"5ms" help:"time of one load of an adapter at full speed"`
}

// logOptions holds the arguments of the log subcommand.
type logOptions struct {
	Listen string `arg:"required" placeholder:"IP:PORT" help:"address to listen on"`
}

// listOptions holds the arguments of the list subcommand.
type listOptions struct {
	Listen string        `arg:"required" placeholder:"IP:PORT" help:"address to listen on"`
	Lag    time.Duration `default:"2s" help:"time from a change until the list shows it"`
}

// Version returns the line that --version prints.
func (options) Version() string { return "sesamewell-standin " + version.Number }

// Description returns the first paragraph of the help.
func (options) Description() string {
	return "sesamewell-standin takes the place of the platform and of backend servers in tests and in the demo. It is not for production."
}

// Epilogue returns the last paragraph of the help.
func (options) Epilogue() string {
	return "Example: sesamewell-standin engine --listen 127.0.0.1:9001\nExit codes: 0 stopped as asked, 1 failed, 2 bad arguments, 3 an engine crashed as asked by --crash-on."
}
