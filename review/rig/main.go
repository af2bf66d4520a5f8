// Command rig runs the cases of the second review: the project's own programs on loopback
// addresses, before stand-ins of the platform's store, of backend servers and of clients.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// rig is what a case works with.
type rig struct {
	*record
	fleet   *fleet
	store   *store
	trouble bool   // the disruption takes place
	prefix  string // of the loopback addresses of this run, 127.X.Y.
}

// cases are the cases by name.
var cases = map[string]func(r *rig) int{}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("out", ".", "folder for record.txt")
	keep := flag.String("logs", "", "folder to which the logs of the processes are copied")
	flag.Parse()
	os.Exit(run(*name, *root, *out, *keep))
}

func run(name, root, out, keep string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("NOT RUN: no such case:", name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(out, "record.txt"))
	if err != nil {
		fmt.Println("NOT RUN:", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return record.notRun(err)
	}
	defer os.RemoveAll(dir)
	if keep != "" {
		defer func() { _ = os.CopyFS(keep, os.DirFS(dir)) }()
	}
	absolute, err := filepath.Abs(root)
	if err != nil {
		return record.notRun(err)
	}
	r := &rig{record: record, trouble: os.Getenv("TROUBLE") != "0", prefix: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))}
	if r.store, err = newStore(r.prefix + "1"); err != nil {
		return record.notRun(err)
	}
	defer r.store.close()
	r.fleet = &fleet{root: absolute, dir: dir, record: record, store: r.store.address}
	defer r.fleet.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- play(r) }()
	select {
	case code := <-done:
		return code
	case <-signals:
		return record.notRun(fmt.Errorf("interrupted"))
	case <-time.After(limit):
		return record.notRun(fmt.Errorf("not finished after %v", limit))
	}
}
