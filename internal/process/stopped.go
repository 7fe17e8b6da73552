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

// After SIGSTOP a process keeps running until one of its threads handles the
// signal, which on a busy machine takes milliseconds.
const (
	stopTimeout      = 5 * time.Second
	stopPollInterval = time.Millisecond
)

// waitStopped waits until all threads of a process have stopped.
func waitStopped(pid int) error {
	for until := time.Now().Add(stopTimeout); time.Now().Before(until); time.Sleep(stopPollInterval) {
		stopped, err := isStopped(pid)
		if stopped || err != nil {
			return err
		}
	}
	return eris.Errorf("process %d was not stopped within %v", pid, stopTimeout)
}

// isStopped reports whether all threads of a process are in the stopped state.
func isStopped(pid int) (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false, eris.Errorf("process %d has no threads: %v", pid, err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if os.IsNotExist(err) {
			continue // The thread has exited.
		}
		if err != nil {
			return false, eris.Wrap(err, "read the state of a thread")
		}
		// The state follows the command name, which is in parentheses and may contain
		// any byte.
		rest := stat[bytes.LastIndexByte(stat, ')')+1:]
		if fields := bytes.Fields(rest); len(fields) == 0 || fields[0][0] != 'T' {
			return false, nil
		}
	}
	return true, nil
}
