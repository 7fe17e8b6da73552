// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the case with a late heartbeat.
const (
	// lateBy is how late a heartbeat arrives.
	lateBy = 2200 * time.Millisecond
	// killAfterLeave is when all nodes are killed, counted from the acknowledgement.
	killAfterLeave = 300 * time.Millisecond
)

// lateHeartbeatAfterPowerLoss has a target leave as planned with a DELETE, which its node
// acknowledges. All nodes are killed, and when they are back, a heartbeat arrives late that the
// target sent before its DELETE. Later than drainMs after the acknowledgement, no request may
// reach the target.
func lateHeartbeatAfterPowerLoss(e *environment) (verdict, error) {
	targets, err := e.startOrders()
	defer func() {
		for _, t := range targets {
			t.end()
		}
	}()
	if err != nil {
		return verdict{}, err
	}
	leaver := targets[2]
	leaver.pauseBeats.Store(true)
	late := leaver.heartbeat("ready") // It is on its way.
	sent := time.Now()
	e.record.event("a heartbeat of %s is sent and delayed", leaver.id)
	time.Sleep(50 * time.Millisecond)
	status := leaver.leave()
	acknowledged := time.Now()
	e.record.event("DELETE of %s: %d", leaver.id, status)
	if status < 200 || status > 299 {
		return verdict{}, fmt.Errorf("the DELETE was not acknowledged: %d", status)
	}
	time.Sleep(killAfterLeave)
	if e.trouble {
		if err := e.restartAll(); err != nil {
			return verdict{}, err
		}
	}
	restarted := time.Now()
	time.Sleep(time.Until(sent.Add(lateBy)))
	e.record.event("the late heartbeat of %s: %d", leaver.id, leaver.call(http.MethodPut, late))
	return e.ordersLater(targets, leaver, acknowledged, restarted)
}
