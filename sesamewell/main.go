// Command sesamewell is the operator's tool.
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
