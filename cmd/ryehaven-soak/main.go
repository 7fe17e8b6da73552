// SPDX-License-Identifier: MIT

// Command ryehaven-soak runs real nodes as processes on loopback, injects faults from
// outside them, and checks the promises that ryehaven makes to callers and backend
// servers. Package internal/soak describes how.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/ryehaven/ryehaven/internal/process"
	"github.com/ryehaven/ryehaven/internal/soak"
)

// arguments are the flags of the command line.
type arguments struct {
	Seeds       int           `default:"1" help:"How many seeds to run, one after the other."`
	Seed        uint64        `help:"The first seed; taken from the current time if not given."`
	Hosts       int           `help:"Number of hosts of each run; derived from the seed, 4 to 9, if not given."`
	Callers     int           `default:"3" help:"Number of callers on each host."`
	Length      time.Duration `default:"20s" help:"How long faults are injected in each run."`
	Work        time.Duration `help:"How long servers work on a request; 4 ms if not given."`
	Spells      bool          `help:"Make servers four times slower for some hundred milliseconds at a time."`
	Tenants     bool          `help:"Have routes require tenants' keys, with a tenant above its quota and keys that change with every version of the configuration."`
	Pipelining  bool          `help:"Add a caller on each host that sends requests without waiting for answers."`
	Crowds      bool          `help:"Add bursts of many callers that retry when refused, some of them while all servers are cold."`
	Stops       bool          `help:"Run planned stops, one or two each 0.7 s, in place of the seeds' schedules."`
	Programs    string        `help:"Directory of the built commands; they are built if not given."`
	Older       string        `help:"Directory of the commands of an earlier version, which all nodes start with; each restart of a node upgrades it."`
	Keep        string        `default:"out/soak" help:"Directory for settings, logs and histories of failed runs, and for logs of runs with notes."`
	Regressions bool          `help:"Repeat all recorded runs that once failed, in place of seeds."`
	Schedule    bool          `help:"Print the schedules of the seeds without running them."`
}

// Exit codes besides 0: a promise was violated, or a run could not be carried out.
const (
	exitViolated = 1
	exitFailed   = 2
)

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("ryehaven-soak"),
		kong.Description("Runs nodes as processes, injects faults, and checks what callers and backend servers saw."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	violated, err := run(ctx, args)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "ryehaven-soak:", err)
		os.Exit(exitFailed)
	case violated > 0:
		os.Exit(exitViolated)
	}
}

// run runs every seed and returns how many of them violated a promise.
func run(ctx context.Context, args arguments) (violated int, err error) {
	if args.Seed == 0 {
		args.Seed = uint64(time.Now().Unix())
	}
	if args.Schedule {
		printSchedules(args)
		return 0, nil
	}
	programs, err := programsDir(args)
	if err != nil {
		return 0, err
	}
	if args.Regressions {
		return runRegressions(ctx, args, programs)
	}
	completed := 0
	for i := 0; i < args.Seeds; i++ {
		report, err := runSeed(ctx, args, programs, args.Seed+uint64(i), nil)
		if err != nil {
			return violated, err
		}
		if ctx.Err() != nil {
			break // A signal ended this seed before its end.
		}
		completed++
		if len(report.Violations) > 0 {
			violated++
		}
	}
	fmt.Printf("%d seeds from %d, %d violated a promise\n", completed, args.Seed, violated)
	return violated, nil
}

// runRegressions repeats all recorded runs that once failed.
func runRegressions(ctx context.Context, args arguments, programs string) (violated int, err error) {
	for _, r := range soak.Regressions() {
		fmt.Printf("seed %d: %s\n", r.Seed, r.Cause)
		args.Hosts, args.Length, args.Tenants = r.Hosts, r.Length, r.Tenants
		report, err := runSeed(ctx, args, programs, r.Seed, r.Steps)
		if err != nil {
			return violated, err
		}
		if len(report.Violations) > 0 {
			violated++
		}
	}
	return violated, nil
}

// programsDir returns the directory of the commands. It builds them if no directory was
// given.
func programsDir(args arguments) (string, error) {
	if args.Programs != "" {
		return args.Programs, nil
	}
	dir, err := filepath.Abs(filepath.Join(args.Keep, "programs"))
	if err != nil {
		return "", err
	}
	return dir, process.Build(dir)
}

// hostCount returns the number of hosts in the run of a seed.
func hostCount(args arguments, seed uint64) int {
	if args.Hosts > 0 {
		return args.Hosts
	}
	return 4 + int(seed%6)
}

func printSchedules(args arguments) {
	for i := range args.Seeds {
		seed := args.Seed + uint64(i)
		hosts := hostCount(args, seed)
		fmt.Printf("seed %d, %d hosts\n", seed, hosts)
		for _, step := range soak.Draw(seed, hosts, args.Length) {
			fmt.Println(" ", step)
		}
	}
}

// runSeed runs one seed. Its directory is kept if a promise was violated or the report has
// notes. steps replace the schedule that is drawn from the seed, unless they are nil.
func runSeed(ctx context.Context, args arguments, programs string, seed uint64, steps []soak.Step) (soak.Report, error) {
	dir := filepath.Join(args.Keep, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return soak.Report{}, err
	}
	if args.Stops && steps == nil {
		steps = soak.DrawStops(seed, hostCount(args, seed), args.Length)
	}
	report, err := soak.Run(ctx, soak.Options{
		Programs:      programs,
		OlderPrograms: args.Older,
		Dir:           dir,
		Seed:          seed,
		Hosts:         hostCount(args, seed),
		Callers:       args.Callers,
		Length:        args.Length,
		Steps:         steps,
		ServiceTime:   args.Work,
		SlowPeriods:   args.Spells,
		Tenants:       args.Tenants,

		Pipelining: args.Pipelining,
		LoadBursts: args.Crowds,
	})
	if err != nil {
		return report, err
	}
	fmt.Println(report)
	for _, line := range report.Findings() {
		fmt.Println(" ", line)
	}
	for _, a := range report.StallOutcomes {
		fmt.Println(" ", a)
	}
	for _, note := range report.Notes {
		fmt.Println("  note:", note)
	}
	if len(report.Violations) > 0 {
		fmt.Printf("  kept in %s; run it again: ryehaven-soak --seed %d --hosts %d --callers %d --length %s\n", dir, seed, report.Hosts, args.Callers, args.Length)
		return report, nil
	}
	if len(report.Notes) > 0 {
		fmt.Printf("  logs kept in %s for the notes\n", dir)
		return report, nil
	}
	return report, os.RemoveAll(dir)
}
