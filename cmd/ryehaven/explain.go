// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/explain"
)

type explainCommand struct {
	ID    string   `arg:"" help:"ID of the request."`
	Files []string `arg:"" type:"existingfile" help:"Log files of nodes, in any order."`
	JSON  bool     `help:"Print JSON."`
}

// Run prints the steps of one request, in order, from the logs of nodes.
func (c *explainCommand) Run() error {
	log := explain.NewLog(c.ID)
	for _, name := range c.Files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	steps, err := log.Trace()
	if err != nil {
		return err
	}
	if log.Skipped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines could not be read\n", log.Skipped)
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(steps)
	}
	return explain.Write(os.Stdout, steps)
}

func readLog(log *explain.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer f.Close()
	return eris.Wrap(log.Read(f), name)
}
