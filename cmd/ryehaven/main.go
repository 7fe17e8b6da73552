// SPDX-License-Identifier: MIT

// Command ryehaven is the operators' tool: it checks, shows, compares and
// applies the table, drains servers, evacuates availability zones, and queries nodes.
//
// Exit codes: 0 success, 1 failure or faults in the table, 2 wrong command line,
// 3 another operator changed the table first, 4 the platform did not respond and
// it is unknown whether the change took effect.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/internal/finding"
)

// Exit codes besides 0.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitRaced   = 3
	exitUnknown = 4
)

// exitError ends the command with an exit code and prints nothing: the command has
// already printed the reason.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// arguments are the commands and flags of the command line.
type arguments struct {
	Check    checkCommand    `cmd:"" help:"Check a table and list all faults as file:line:column: message."`
	Show     showCommand     `cmd:"" help:"Print the table stored on the platform, or the one in force at a node."`
	Diff     diffCommand     `cmd:"" help:"Compare a table with the one stored on the platform."`
	Apply    applyCommand    `cmd:"" help:"Store a table on the platform."`
	Drain    drainCommand    `cmd:"" help:"Mark a backend server as leaving, or undo that."`
	Evacuate evacuateCommand `cmd:"" help:"Stop sending requests to the backend servers of an availability zone, or undo that."`
	Status   statusCommand   `cmd:"" help:"Print the status of nodes and of their gates."`
	Burn     burnCommand     `cmd:"" help:"Print how fast services use up their error budgets, over all nodes."`
	Tenant   tenantCommand   `cmd:"" help:"Compute fingerprints of tenants' keys and list tenants' requests."`
	Quota    quotaCommand    `cmd:"" help:"Print which tenants are closest to their quotas, over all nodes and by host."`
	Settings settingsCommand `cmd:"" help:"List the keys of a node's settings file as a Markdown table."`
	Metrics  metricsCommand  `cmd:"" help:"List the metrics of nodes, with their units, as a Markdown table."`
	Explain  explainCommand  `cmd:"" help:"Trace one request through the logs of nodes."`
	Losses   lossesCommand   `cmd:"" help:"Summarize from the logs of nodes which requests got no successful answer in time, when and why."`
	Demo     demoCommand     `cmd:"" help:"Run a small site in this process, with stand-ins for the platform and the backend servers."`
}

func main() {
	var args arguments
	parser := kong.Must(&args,
		kong.Name("ryehaven"),
		kong.Description("The operators' tool of ryehaven, a load balancer for servers whose load shifts within milliseconds."),
		kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	os.Exit(exitCode(ctx.Run()))
}

// exitCode prints an error and returns the exit code for it.
func exitCode(err error) int {
	var code exitError
	var findings *finding.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &findings):
		fmt.Fprintln(os.Stderr, findings)
	default:
		fmt.Fprintln(os.Stderr, "ryehaven:", eris.ToString(err, false))
	}
	return exitFailed
}
