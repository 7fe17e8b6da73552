// SPDX-License-Identifier: MIT

// Command ryehaven-load measures ryehaven on loopback: it runs a site of real
// nodes and stand-in backend servers in this process, sends requests at a
// fixed schedule of arrivals, and prints what callers saw.
//
// Latency counts from the moment at which a request was to be sent, so that
// waiting for a slow site is not left out.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

var arguments struct {
	Compare  compareCommand  `cmd:"" help:"Run scenarios with several policies and print a row for each."`
	Overhead overheadCommand `cmd:"" help:"Measure what two hops add over a direct call."`
	Chain    chainCommand    `cmd:"" help:"Measure how load multiplies along a chain of services that is overloaded."`
	Recover  recoverCommand  `cmd:"" help:"Measure how long callers see failures after a kill or a freeze."`
	Spread   spreadCommand   `cmd:"" help:"Measure control cost and the time until a change is in force, against the number of nodes."`
	Platform platformCommand `cmd:"" help:"Compare policies on an emulated site of the users' platform whose servers are slow in spells."`
	Ablate   ablateCommand   `cmd:"" help:"Run scenarios with one part of the decisions switched off at a time."`
	Overload overloadCommand `cmd:"" help:"Offer an emulated site from less to far more than its servers can do, with calls between services."`
}

func main() {
	ctx := kong.Parse(&arguments,
		kong.Name("ryehaven-load"),
		kong.Description("Load and experiments for ryehaven, on loopback only."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ryehaven-load:", eris.ToString(err, false))
		os.Exit(1)
	}
}
