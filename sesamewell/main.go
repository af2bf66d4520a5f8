// Command sesamewell checks and applies the inventory of a fleet and shows the
// state of the fleet. It is the command-line tool for operators.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

func main() {
	var args options
	arg.MustParse(&args)
	if err := run(os.Stdout, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}
