// Command standins runs one case of the review: it starts daemons as processes, with
// stand-ins for the store, the backends and the clients, and judges one rule. It exits
// with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

// maxRunTime ends a run that hangs.
const maxRunTime = 115 * time.Second

// verdict is the result of a scenario.
type verdict struct {
	broken bool
	text   string
}

// scenarios are the cases by name. disturbed is whether the disruption takes place.
var scenarios = map[string]func(c *cluster, disturbed bool) (verdict, error){
	"uploads":     runUploads,
	"departure":   runDeparture,
	"connections": runConnections,
	"refusal":     runRefusal,
	"extra":       runExtra,
	"poison":      runPoison,
	"fields":      runFields,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins SCENARIO RECORD-FILE")
		os.Exit(exitError)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return exitError
	}
	c, err := newCluster(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- judge(c, scenario) }()
	select {
	case code := <-done:
		return code
	case <-interrupted:
		c.record.add("interrupted")
	case <-time.After(maxRunTime):
		c.record.add("the run took too long")
	}
	return exitError
}

func judge(c *cluster, scenario func(*cluster, bool) (verdict, error)) int {
	v, err := scenario(c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		c.record.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitError
	case v.broken:
		c.record.add("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return exitBroken
	}
	c.record.add("HELD: %s", v.text)
	fmt.Println("HELD:", v.text)
	return exitHeld
}
