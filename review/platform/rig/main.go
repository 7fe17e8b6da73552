// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes that the scripts pass on.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// outcome is the result of a case: what was found against the rule, if anything.
type outcome struct {
	broken []string
}

func (o *outcome) breaks(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

// record is the text of record.txt.
type record struct {
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. trouble says whether the case's disruption takes place.
var cases = map[string]func(r *record, trouble bool) (outcome, error){
	"multipart": runMultipart,
	"path":      runPath,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the repository; CASE is multipart or path")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", name, trouble)
	o, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case len(o.broken) > 0:
		for _, text := range o.broken {
			r.add("BROKEN: %s", text)
		}
		fmt.Printf("rule broken, %d times; first: %s\n", len(o.broken), o.broken[0])
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("rule held")
	return exitHeld
}
