// SPDX-License-Identifier: MIT

// Command ryehaven is the operators' tool: it checks, shows, compares and
// applies the table, drains servers, evacuates availability zones, and reads nodes.
//
// Exit codes: 0 done, 1 failed or the table has faults, 2 wrong command line,
// 3 another operator changed the table first, 4 the platform stayed away and
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

// exitError ends the command with a code; what there is to say was said.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// arguments is the command line.
type arguments struct {
	Check    checkCommand    `cmd:"" help:"Check a table and list every fault as file:line:column: message."`
	Show     showCommand     `cmd:"" help:"Print the table in the platform's service, or the one in force at a node."`
	Diff     diffCommand     `cmd:"" help:"Compare a table with the one in the platform's service."`
	Apply    applyCommand    `cmd:"" help:"Put a table into the platform's service."`
	Drain    drainCommand    `cmd:"" help:"Mark a backend server as leaving, or take that back."`
	Evacuate evacuateCommand `cmd:"" help:"Ask that the backend servers of an availability zone get nothing, or take that back."`
	Status   statusCommand   `cmd:"" help:"Print what nodes say of themselves."`
	Burn     burnCommand     `cmd:"" help:"Print the service-level burn of all nodes."`
	Tenant   tenantCommand   `cmd:"" help:"Read tenants' keys and what they send."`
	Quota    quotaCommand    `cmd:"" help:"Print which tenants are near their quotas, over all nodes and by host."`
	Settings settingsCommand `cmd:"" help:"List the keys of a node's settings file as a table in Markdown."`
	Metrics  metricsCommand  `cmd:"" help:"List what nodes count, with units, as a table in Markdown."`
	Explain  explainCommand  `cmd:"" help:"Tell the story of one request from the logs of nodes."`
	Losses   lossesCommand   `cmd:"" help:"Sum up from the logs of nodes which requests lost their worth, when and why."`
	Demo     demoCommand     `cmd:"" help:"Run a whole small site in this process, with stand-ins."`
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

// exitCode prints an error and returns the code that stands for it.
func exitCode(err error) int {
	var code exitError
	var found *finding.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &found):
		fmt.Fprintln(os.Stderr, found)
	default:
		fmt.Fprintln(os.Stderr, "ryehaven:", eris.ToString(err, false))
	}
	return exitFailed
}
