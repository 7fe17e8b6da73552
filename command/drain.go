// SPDX-License-Identifier: MIT

package command

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// setStateTries is how often SetState tries to change the table before it gives up
// because other operators keep changing it.
const setStateTries = 10

// SetState sets the state of a server's row in the table that the platform's service
// holds, and changes nothing else. If service is blank, exactly one service must have a
// server of that name.
func SetState(ctx context.Context, client store.Client, service, server string, state table.State) (Result, error) {
	for range setStateTries {
		current, tag, err := readTable(ctx, client)
		if err != nil {
			return Result{}, err
		}
		if tag == "" {
			return Result{}, eris.New("there is no table yet")
		}
		text, err := table.SetState([]byte(current.Table), service, server, state)
		if err != nil {
			return Result{}, err
		}
		result, err := Apply(ctx, client, Change{File: store.TableKey, Text: text, BaseGeneration: current.Generation})
		if err != nil || result.Outcome != Raced {
			return result, err
		}
	}
	return Result{}, eris.Errorf("gave up after %d tries: other operators kept changing the table", setStateTries)
}
