// SPDX-License-Identifier: MIT

//go:build review

// Command rig2 plays one case of the second review: it starts nodes as separate processes, with
// stand-ins for the store, the targets and the clients, and judges what these have seen.
//
//	rig2 CASE DIR
//
// DIR gets record.txt. With TROUBLE=0 the disruption is left out. The exit code is 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict says whether a rule was broken, and why.
type verdict struct {
	broken bool
	why    string
}

// environment is what a case gets.
type environment struct {
	site    *site
	record  *record
	trouble bool
}

var cases = map[string]func(e *environment) (verdict, error){
	"fields": manyFieldsDuringPlannedStop,
	"crash":  crashAfterPowerLoss,
	"leave":  leaveAfterPowerLoss,
	"late":   lateHeartbeatAfterPowerLoss,
	"cut":    changeDuringCut,
}

// limit is the longest that a case may take.
const limit = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE DIR")
		return exitFailed
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	site, err := newSite(dir, "target/ryehavend", record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer site.stop()
	time.AfterFunc(limit, func() {
		record.event("could not run: not done after %v", limit)
		site.stop()
		os.Exit(exitFailed)
	})
	v, err := cases[os.Args[1]](&environment{site, record, os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		record.event("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case v.broken:
		record.event("broken: %s", v.why)
		fmt.Println("broken:", v.why)
		return exitBroken
	}
	record.event("held: %s", v.why)
	fmt.Println("held:", v.why)
	return exitHeld
}
