// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ryehaven/ryehaven/command"
	"github.com/ryehaven/ryehaven/query"
)

type evacuateCommand struct {
	platformFlags
	Zone string `arg:"" help:"The availability zone whose backend servers are to receive no requests."`
	Undo bool   `help:"End the evacuation."`
	Node string `required:"" placeholder:"IP:PORT" help:"Admin address of a node, from which the zones of all nodes are read."`
	JSON bool   `help:"Print JSON."`
}

// Run starts or ends the evacuation of a zone.
func (c *evacuateCommand) Run() error {
	status, err := query.GetStatus(c.Node)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	result, err := command.Evacuate(ctx, c.client(), command.Evacuation{Zone: c.Zone, Cancel: c.Undo, ServerZones: knownZones(status)})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(result); err != nil {
			return err
		}
	} else {
		printEvacuation(result)
	}
	if result.Outcome == command.Unknown {
		return exitError(exitUnknown)
	}
	return nil
}

// knownZones returns the zones of a node and of all nodes that it knows, sorted.
func knownZones(status query.Status) []string {
	zones := map[string]bool{status.Zone: true}
	for _, m := range status.Members {
		zones[m.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

func printEvacuation(result command.EvacuationResult) {
	if result.Outcome == command.Unknown {
		fmt.Println("unknown: the platform did not respond; running this again is safe")
		return
	}
	evacuated := strings.Join(result.Zones, ", ")
	if evacuated == "" {
		evacuated = "none"
	}
	fmt.Printf("%s; evacuated availability zones: %s\n", result.Outcome, evacuated)
}
