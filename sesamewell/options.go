package main

import (
	"time"

	"sesamewell.example/commons/version"
)

// options are the arguments of the command line.
type options struct {
	Check    *checkOptions    `arg:"subcommand:check" help:"report every fault of an inventory"`
	Apply    *applyOptions    `arg:"subcommand:apply" help:"put an inventory in force on the whole fleet"`
	Key      *keyOptions      `arg:"subcommand:key" help:"work with callers' keys"`
	Trace    *traceOptions    `arg:"subcommand:trace" help:"print the spans of a request"`
	Explain  *explainOptions  `arg:"subcommand:explain" help:"tell why a request went, waited or was refused, or where a model is"`
	Settings *settingsOptions `arg:"subcommand:settings" help:"print the table of all settings"`

	Log     string        `default:"127.0.0.1:9100" placeholder:"IP:PORT" help:"address of the log service"`
	Timeout time.Duration `default:"20s" help:"longest time that a command waits"`
}

type checkOptions struct {
	Inventory string `arg:"positional,required" placeholder:"FILE" help:"inventory in INI form"`
}

type applyOptions struct {
	Inventory string   `arg:"positional,required" placeholder:"FILE" help:"inventory in INI form"`
	Operators []string `arg:"--wait-for,separate" placeholder:"IP:PORT" help:"operators' page of an instance that must have the revision in force; may be given several times"`
}

type keyOptions struct {
	Hash *hashOptions `arg:"subcommand:hash" help:"print the SHA-256 of a key for the inventory"`
}

type hashOptions struct {
	Key string `arg:"positional,required" placeholder:"KEY" help:"key as callers send it"`
}

type traceOptions struct {
	ID        string   `arg:"positional,required" placeholder:"TRACE" help:"trace id in hexadecimal"`
	Operators []string `arg:"--from,separate,required" placeholder:"IP:PORT" help:"operators' page to ask; may be given several times"`
}

type explainOptions struct {
	Subject string `arg:"positional,required" placeholder:"REQUEST|MODEL" help:"request id, as X-Request-Id gives it, or the name of a model or adapter"`
}

type settingsOptions struct{}

// Version returns the line that --version prints.
func (options) Version() string { return "sesamewell " + version.Number }

// Description returns the first paragraph of the help.
func (options) Description() string {
	return "sesamewell checks and applies the inventory of a fleet and shows what the fleet does."
}

// Epilogue returns the last paragraph of the help.
func (options) Epilogue() string {
	return "Examples:\n  sesamewell check inventory.ini\n  sesamewell --log 10.0.0.9:9100 apply inventory.ini\n" +
		"Exit codes: 0 done, 1 failed, 2 bad arguments, 3 the inventory has faults, 4 another change came first, 5 in force, but not everywhere in time."
}
