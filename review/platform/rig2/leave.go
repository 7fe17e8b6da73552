// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"fmt"
	"time"
)

// leaveAfter is when the target leaves, counted from its last heartbeat, which came just
// before the nodes were killed: before its next one.
const leaveAfter = 1300 * time.Millisecond

// leaveAfterPowerLoss kills all nodes at once. Soon after they are back, a target leaves as
// planned with a DELETE, which its node acknowledges. Later than drainMs after that, no request
// may reach the target.
func leaveAfterPowerLoss(e *environment) (verdict, error) {
	targets, err := e.startOrders()
	defer func() {
		for _, t := range targets {
			t.end()
		}
	}()
	if err != nil {
		return verdict{}, err
	}
	began := time.Now()
	if e.trouble {
		if err := e.restartAll(); err != nil {
			return verdict{}, err
		}
	}
	restarted := time.Now()
	time.Sleep(time.Until(began.Add(leaveAfter)))
	leaver := targets[2]
	status := leaver.leave()
	acknowledged := time.Now()
	e.record.event("DELETE of %s: %d", leaver.id, status)
	if status < 200 || status > 299 {
		return verdict{}, fmt.Errorf("the DELETE was not acknowledged: %d", status)
	}
	return e.ordersLater(targets, leaver, acknowledged, restarted)
}
