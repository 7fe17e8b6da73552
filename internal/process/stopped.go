// SPDX-License-Identifier: MIT

package process

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// A process that is sent SIGSTOP goes on until one of its threads has taken the
// signal, which on a busy machine is milliseconds later.
const (
	// stopLimit bounds the wait for that, and stopLook is how often it is looked for.
	stopLimit = 5 * time.Second
	stopLook  = time.Millisecond
)

// waitStopped waits until every thread of a process is stopped.
func waitStopped(pid int) error {
	for until := time.Now().Add(stopLimit); time.Now().Before(until); time.Sleep(stopLook) {
		stopped, err := isStopped(pid)
		if stopped || err != nil {
			return err
		}
	}
	return eris.Errorf("process %d was not stopped within %v", pid, stopLimit)
}

func isStopped(pid int) (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false, eris.Errorf("process %d has no threads: %v", pid, err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if os.IsNotExist(err) {
			continue // The thread has ended.
		}
		if err != nil {
			return false, eris.Wrap(err, "state of a thread")
		}
		// The name before the state stands in parentheses and may hold any byte.
		rest := stat[bytes.LastIndexByte(stat, ')')+1:]
		if fields := bytes.Fields(rest); len(fields) == 0 || fields[0][0] != 'T' {
			return false, nil
		}
	}
	return true, nil
}
