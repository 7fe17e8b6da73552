// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/command"
	"github.com/ryehaven/ryehaven/query"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// platformFlags are the flags of commands that use the platform.
type platformFlags struct {
	Platform string        `required:"" env:"RYEHAVEN_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	Wait     time.Duration `default:"10s" help:"How long to retry while the platform does not respond."`
}

const callTimeout = 2 * time.Second

func (f platformFlags) client() store.Client { return store.NewHTTP(f.Platform, callTimeout) }

func (f platformFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), f.Wait)
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// readTable reads a file and splits off the line that holds its generation.
func readTable(path string) (base table.Generation, hasGeneration bool, text []byte, err error) {
	file, err := os.ReadFile(path)
	if err != nil {
		return 0, false, nil, eris.Wrap(err, "read table")
	}
	base, text, hasGeneration = table.CutGeneration(file)
	return base, hasGeneration, text, nil
}

type checkCommand struct {
	File string `arg:"" help:"The table, a CSV file."`
}

// Run checks the whole file, including a line with the generation, so that the
// positions of faults match the file.
func (c *checkCommand) Run() error {
	file, err := os.ReadFile(c.File)
	if err != nil {
		return eris.Wrap(err, "read table")
	}
	t, err := table.Parse(c.File, file)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d services, %d servers, no faults\n", c.File, len(t.Services()), t.Servers())
	return nil
}

type showCommand struct {
	Platform string `env:"RYEHAVEN_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	Node     string `placeholder:"IP:PORT" help:"Admin address of a node; prints the table in force there."`
}

// Run prints a table after a line with its generation, so that the output can be
// edited and applied.
func (c *showCommand) Run() error {
	if c.Node != "" {
		status, err := query.GetStatus(c.Node)
		if err != nil {
			return err
		}
		text, err := query.GetTable(c.Node)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(table.AddGeneration(status.Generation, text))
		return err
	}
	if c.Platform == "" {
		return eris.New("either --platform or --node is required")
	}
	e, err := query.GetStoredTable(context.Background(), store.NewHTTP(c.Platform, callTimeout))
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(table.AddGeneration(e.Generation, []byte(e.Table)))
	return err
}

type diffCommand struct {
	platformFlags
	File string `arg:"" help:"The table to compare."`
	JSON bool   `help:"Print JSON."`
}

// Run prints what applying the file would change.
func (c *diffCommand) Run() error {
	_, _, text, err := readTable(c.File)
	if err != nil {
		return err
	}
	if _, err := table.Parse(c.File, text); err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	e, err := query.GetStoredTable(ctx, c.client())
	if err != nil {
		return err
	}
	changes := table.Diff([]byte(e.Table), text)
	if c.JSON {
		return printJSON(changes)
	}
	for _, change := range changes {
		fmt.Println(change)
	}
	return nil
}

type applyCommand struct {
	platformFlags
	File string  `arg:"" help:"The table to apply."`
	From *uint64 `help:"Generation that the table is based on, if the file's first line does not hold it; 0 for the first table."`
	Node string  `placeholder:"IP:PORT" help:"Admin address of a node; the new generation is made higher than the node's, which is needed after the platform was restored from a backup."`
	JSON bool    `help:"Print JSON."`
}

// Run applies a table. When it is accepted and the file's first line holds a
// generation, that line is updated.
func (c *applyCommand) Run() error {
	base, hasGeneration, text, err := readTable(c.File)
	if err != nil {
		return err
	}
	if c.From != nil {
		base = table.Generation(*c.From)
	} else if !hasGeneration {
		return eris.New("the file's first line holds no generation: set --from to the generation that the table is based on, or edit the output of 'ryehaven show', which has that line")
	}
	change := command.Change{File: c.File, Text: text, BaseGeneration: base}
	if c.Node != "" {
		status, err := query.GetStatus(c.Node)
		if err != nil {
			return err
		}
		change.NodeGeneration = status.Generation
	}
	ctx, cancel := c.context()
	defer cancel()
	result, err := command.Apply(ctx, c.client(), change)
	if err != nil {
		return err
	}
	if hasGeneration && (result.Outcome == command.Accepted || result.Outcome == command.Unchanged) {
		if err := os.WriteFile(c.File, table.AddGeneration(result.Generation, text), 0o644); err != nil {
			return eris.Wrapf(err, "accepted as generation %d, but the generation in the file's first line could not be updated", result.Generation)
		}
	}
	return reportResult(result, c.JSON)
}

// reportResult prints the result of a change and returns its exit code as an error.
func reportResult(result command.Result, asJSON bool) error {
	if asJSON {
		if err := printJSON(result); err != nil {
			return err
		}
	} else {
		printResult(result)
	}
	switch result.Outcome {
	case command.Raced:
		return exitError(exitRaced)
	case command.Unknown:
		return exitError(exitUnknown)
	}
	return nil
}

func printResult(result command.Result) {
	switch result.Outcome {
	case command.Accepted:
		fmt.Printf("accepted as generation %d\n", result.Generation)
	case command.Unchanged:
		fmt.Printf("already accepted as generation %d\n", result.Generation)
	case command.Unknown:
		fmt.Println("unknown: the platform did not respond; running this again is safe")
	case command.Raced:
		fmt.Printf("not accepted: your file is not based on the newest table; the platform holds generation %d, with these changes that your file lacks:\n", result.Generation)
		for _, change := range result.OtherChanges {
			fmt.Println("  " + change.String())
		}
	}
}

type drainCommand struct {
	platformFlags
	Server  string `arg:"" help:"The backend server's name."`
	Service string `help:"The server's service; needed if several services have a server of that name."`
	Undo    bool   `help:"Let the server receive new requests again."`
	JSON    bool   `help:"Print JSON."`
}

// Run changes the state in the table row of one server.
func (c *drainCommand) Run() error {
	state := table.Leaving
	if c.Undo {
		state = table.Active
	}
	ctx, cancel := c.context()
	defer cancel()
	result, err := command.SetState(ctx, c.client(), c.Service, c.Server, state)
	if err != nil {
		return err
	}
	return reportResult(result, c.JSON)
}
