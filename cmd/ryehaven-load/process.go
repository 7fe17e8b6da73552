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

// processFlags choose where the programs are.
type processFlags struct {
	Programs string `help:"Directory of the built programs; this program's own by default."`
}

// start starts a site of processes. The returned function ends it.
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

// usage is what a process has used.
type usage struct {
	cpu      time.Duration
	resident int64
	// allocations counts since the process began; usageOf leaves it 0.
	allocations float64
}

// clockTick is the unit of processor time in /proc, USER_HZ, which is 100 on
// every Linux that Go runs on.
const clockTick = 10 * time.Millisecond

// usageOf reads a process's use from /proc.
func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The name in parentheses may hold anything; the fields come after it.
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
		cpu:      time.Duration(numbers[0]+numbers[1]) * clockTick,
		resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
