// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/internal/process"
)

// processFlags are the flags of commands that run a site as separate processes.
type processFlags struct {
	Programs string `help:"Directory of the built programs; the directory of this program by default."`
}

// start starts a site of processes. The returned function stops it.
func (f processFlags) start(c process.Config) (*process.Site, func(), error) {
	c.Programs = f.Programs
	if c.Programs == "" {
		own, err := os.Executable()
		if err != nil {
			return nil, nil, err
		}
		c.Programs = filepath.Dir(own)
	}
	dir, err := os.MkdirTemp("", "ryehaven-load")
	if err != nil {
		return nil, nil, err
	}
	c.Dir = dir
	s, err := process.Start(c)
	if err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	return s, func() {
		s.Stop()
		os.RemoveAll(dir)
	}, nil
}

// usage is the resource usage of a process.
type usage struct {
	cpu           time.Duration
	residentBytes int64
	// allocations is the number of heap allocations since the start of the process;
	// processUsage leaves it 0.
	allocations float64
}

// clockTick is the unit of processor time in /proc, USER_HZ, which is 100 on
// every Linux that Go runs on.
const clockTick = 10 * time.Millisecond

// processUsage reads the usage of a process from /proc.
func processUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The process's name, in parentheses, may contain any character, also spaces and
	// parentheses; the other fields come after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userAt, systemAt, residentAt = 11, 12, 21
	if len(fields) <= residentAt {
		return usage{}, eris.New("/proc/PID/stat has too few fields")
	}
	var numbers [3]int64
	for i, at := range []int{userAt, systemAt, residentAt} {
		if numbers[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return usage{}, err
		}
	}
	return usage{
		cpu:           time.Duration(numbers[0]+numbers[1]) * clockTick,
		residentBytes: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
