// SPDX-License-Identifier: MIT

// Command ryehaven-load measures ryehaven on loopback: it runs a site of real
// nodes and stand-in backend servers on this machine, sends requests, and prints
// the results that callers saw.
//
// Most commands send requests on a schedule that does not depend on the answers. They
// measure latency from the time at which a request was due, so that the time that it waits
// because the site is slow is included.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

var arguments struct {
	Compare  compareCommand  `cmd:"" help:"Run scenarios with several balancing policies and print a row for each."`
	Overhead overheadCommand `cmd:"" help:"Measure what the two hops through an entry and a gate add to a direct call."`
	Chain    chainCommand    `cmd:"" help:"Measure how load multiplies along a chain of overloaded services."`
	Recover  recoverCommand  `cmd:"" help:"Measure how long callers see failures after a process is killed or frozen."`
	Spread   spreadCommand   `cmd:"" help:"Measure the cost of control traffic and the time until a change is in force, by the number of nodes."`
	Platform platformCommand `cmd:"" help:"Compare balancing policies on an emulated platform site whose servers have slow periods."`
	Ablate   ablateCommand   `cmd:"" help:"Run scenarios with one part of the decisions disabled at a time."`
	Overload overloadCommand `cmd:"" help:"Offer an emulated site loads from below to far above its servers' capacity, with calls between services."`
}

func main() {
	ctx := kong.Parse(&arguments,
		kong.Name("ryehaven-load"),
		kong.Description("Load tests and experiments for ryehaven, on loopback only."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ryehaven-load:", eris.ToString(err, false))
		os.Exit(1)
	}
}
