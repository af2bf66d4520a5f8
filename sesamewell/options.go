package main

import (
	"time"

	"sesamewell.example/commons/version"
)

// options are the command-line arguments.
type options struct {
	Check    *checkOptions    `arg:"subcommand:check" help:"report every fault of an inventory"`
	Apply    *applyOptions    `arg:"subcommand:apply" help:"put an inventory in force on the whole fleet"`
	Diff     *diffOptions     `arg:"subcommand:diff" help:"show what apply would change"`
	Status   *statusOptions   `arg:"subcommand:status" help:"show what every instance does"`
	Drain    *drainOptions    `arg:"subcommand:drain" help:"take a backend server out of service without cutting off a request"`
	Evacuate *evacuateOptions `arg:"subcommand:evacuate" help:"send nothing more to the backend servers of a failure domain"`
	Key      *keyOptions      `arg:"subcommand:key" help:"work with callers' keys"`
	Trace    *traceOptions    `arg:"subcommand:trace" help:"print the spans of a request"`
	Explain  *explainOptions  `arg:"subcommand:explain" help:"tell why a request went, waited or was refused, where a model is, or where a request would go"`
	Settings *settingsOptions `arg:"subcommand:settings" help:"print the table of all settings"`

	Log     string        `default:"127.0.0.1:9100" placeholder:"IP:PORT" help:"address of the log service"`
	List    string        `placeholder:"IP:PORT" help:"address of the platform's list of instances; without it every instance of the inventory counts as live"`
	Timeout time.Duration `default:"20s" help:"longest time that a command waits"`
}

type checkOptions struct {
	Inventory string `arg:"positional,required" placeholder:"FILE" help:"inventory in INI form"`
}

type applyOptions struct {
	Inventory string   `arg:"positional,required" placeholder:"FILE" help:"inventory in INI form"`
	Operators []string `arg:"--wait-for,separate" placeholder:"IP:PORT" help:"operators' pages to wait for instead of those of all live instances; may be given several times"`
}

type keyOptions struct {
	Grant    *grantOptions    `arg:"subcommand:grant" help:"let a key run requests for a tenant"`
	Withdraw *withdrawOptions `arg:"subcommand:withdraw" help:"end a key, also for connected callers"`
	Hash     *hashOptions     `arg:"subcommand:hash" help:"print the SHA-256 of a key for the inventory"`
}

type diffOptions struct {
	Inventory string `arg:"positional,required" placeholder:"FILE" help:"inventory in INI form"`
}

type statusOptions struct{}

type drainOptions struct {
	Backend string `arg:"positional,required" placeholder:"BACKEND" help:"name of the backend server"`
	Undo    bool   `arg:"--undo" help:"put it back into service"`
}

type evacuateOptions struct {
	Domain string `arg:"positional,required" placeholder:"DOMAIN" help:"failure domain, as the inventory names it"`
	Undo   bool   `arg:"--undo" help:"return it to service"`
}

type grantOptions struct {
	Name   string `arg:"positional,required" placeholder:"NAME" help:"name of the key in the inventory"`
	Tenant string `arg:"required" placeholder:"TENANT" help:"tenant for which its requests run"`
	Hash   string `arg:"--sha256,required" placeholder:"HASH" help:"SHA-256 of the key, as sesamewell key hash prints it"`
}

type withdrawOptions struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"name of the key in the inventory"`
}

type hashOptions struct {
	Key string `arg:"positional,required" placeholder:"KEY" help:"key as callers send it"`
}

type traceOptions struct {
	ID        string   `arg:"positional,required" placeholder:"TRACE" help:"trace id in hexadecimal"`
	Operators []string `arg:"--from,separate,required" placeholder:"IP:PORT" help:"operators' page to ask; may be given several times"`
}

type explainOptions struct {
	Subject string `arg:"positional,required" placeholder:"REQUEST|MODEL|route" help:"request id, as X-Request-Id gives it, the name of a model or adapter, or the word route: where a request that has not been sent would go"`

	Ask      string   `placeholder:"IP:PORT" help:"route: operators' page of the lobby to ask"`
	Route    string   `arg:"--route" placeholder:"NAME" help:"route: name of the route, in place of host and path"`
	Host     string   `help:"route: host that the request names"`
	Path     string   `help:"route: path that the request names"`
	Customer string   `placeholder:"NAME" help:"route: customer of the request"`
	Model    string   `help:"route: model that the request names"`
	Adapter  string   `help:"route: adapter that the request names"`
	Parts    []string `arg:"--part,separate" placeholder:"ID:TOKENS" help:"route: a part of the prompt; may be given several times, in their order"`
	JSON     bool     `arg:"--json" help:"route: print JSON"`
}

type settingsOptions struct{}

// Version returns the text that --version prints.
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
