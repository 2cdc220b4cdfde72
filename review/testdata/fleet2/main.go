// Command fleet2 shows faults of parsley-sidecar on a small deployment of processes. It exits
// with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by their names. They report whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"foreign-heartbeat": foreignHeartbeat,
	"stale-start":       staleStart,
	"slow-reader":       slowReader,
	"unfinished-bodies": unfinishedBodies,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/bin/parsley-sidecar", "the daemon")
	dir := flag.String("dir", "", "temporary folder")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *dir, *path, os.Getenv("TROUBLE") != "0"))
}

const (
	held0, broken1, failed2 = 0, 1, 2
)

func run(name, program, dir, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet2:", err)
		return failed2
	}
	defer func() {
		if err := rec.close(); err != nil {
			fmt.Fprintln(os.Stderr, "fleet2:", err)
		}
	}()
	c := cases[name]
	if c == nil {
		rec.say("there is no case %q", name)
		return failed2
	}
	if program, err = filepath.Abs(program); err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		rec.say("the daemon: %v", err)
		return failed2
	}
	services := []string{"reports", "reports", "reports", "reports", "bookings", "bookings", "bookings", "payments", "payments", "payments", "payments"}
	f, err := newFleet(dir, program, rec, services, map[string]bool{"reports": true})
	if err != nil {
		rec.say("deployment: %v", err)
		return failed2
	}
	defer f.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		f.stop()
		os.Exit(failed2)
	}()
	broken, err := c(f, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return failed2
	case broken:
		rec.say("the rule was broken")
		return broken1
	}
	rec.say("the rule held")
	return held0
}
