// SPDX-License-Identifier: MIT

package quota

import "github.com/ryehaven/ryehaven/wire"

// Topic carries a question and is answered with a reply.
const Topic wire.Topic = "quota"

// purpose is what a question asks for.
type purpose uint8

const (
	// take asks the keeper of the own zone to pay for requests.
	take purpose = iota
	// passed is take, passed on by a node that is not the keeper.
	passed
	// lend asks the keeper of another zone to pay from what it has.
	lend
)

// question asks that a tenant's requests are paid for.
type question struct {
	Tenant  string
	Purpose purpose
	Want    int
	// Rate and Burst are the quota as the asker's table has it, for a keeper whose table
	// does not know the tenant yet.
	Rate, Burst int
}

// reply says how many requests are paid for, and when the others should come back.
type reply struct {
	Paid                    int
	FirstMicros, StepMicros int64
}
