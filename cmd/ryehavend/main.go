// SPDX-License-Identifier: MIT

// Command ryehavend runs a node, of which there is one on each backend server's host.
//
// Exit codes: 0 after a planned stop, 1 if the node could not start or failed, 2
// for a wrong command line, 3 if a planned stop reached its timeout.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/node"
	"github.com/ryehaven/ryehaven/platform"
	"github.com/ryehaven/ryehaven/settings"
	"github.com/ryehaven/ryehaven/store"
)

// Exit codes besides 0.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitStopTimeout = 3
)

// arguments are the arguments and flags of the command line.
type arguments struct {
	Settings string `arg:"" type:"existingfile" help:"The node's settings, a TOML file."`
	Check    bool   `help:"Check the settings file and exit."`
}

func main() {
	var args arguments
	kong.Parse(&args,
		kong.Name("ryehavend"),
		kong.Description("A ryehaven node: accepts callers' requests, controls the requests to this host's backend servers, and applies the operators' table."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}))
	os.Exit(run(args))
}

func run(args arguments) int {
	reloadSignals := make(chan os.Signal, 1) // Set up first: a SIGHUP without a handler ends the process.
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	s, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if args.Check {
		return 0
	}
	sink := event.NewSink(os.Stdout, logBufferBytes)
	defer sink.Close()
	log, err := newLog(s.Log.Level, sink)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = serve(ctx, settingsFile{args.Settings, reloadSignals}, s, log)
	switch {
	case errors.Is(err, node.ErrStopTimeout):
		return exitStopTimeout
	case err != nil:
		log.Error("node failed", zap.String("error", eris.ToString(err, false)))
		return exitFailed
	}
	return 0
}

// settingsFile is the settings file, with the signals that request reading it again.
type settingsFile struct {
	path          string
	reloadSignals <-chan os.Signal
}

func serve(ctx context.Context, f settingsFile, s settings.Settings, log *zap.Logger) error {
	if s.Sidecar.Control != "" {
		return serveSidecar(ctx, f, s, log)
	}
	options := node.Options{Recorder: newRecorder(s, log)}
	if s.Platform.Address != "" {
		options.Store = store.NewHTTP(s.Platform.Address, s.Platform.CallTimeout)
	}
	n, err := node.New(s, log, options)
	if err != nil {
		return err
	}
	go watchSettings(ctx, f, n, log)
	return n.Run(ctx)
}

// serveSidecar runs a node with the platform's adapter, through which the host's
// backend server announces itself.
func serveSidecar(ctx context.Context, f settingsFile, s settings.Settings, log *zap.Logger) error {
	options := node.Options{Dialect: platform.Dialect(), Recorder: newRecorder(s, log)}
	if s.Platform.Address != "" {
		client := platform.NewStore(s.Platform.Address, s.Platform.CallTimeout)
		client.Log = log.With(zap.String("host", s.Host))
		options.Store = client
	}
	n, err := node.New(s, log, options)
	if err != nil {
		return err
	}
	server, err := platform.Serve(n, s.Sidecar.Control, s.Sidecar.Ready)
	if err != nil {
		return err
	}
	defer server.Close()
	go watchSettings(ctx, f, n, log)
	return n.Run(ctx)
}

// pollInterval is how often the settings file is read without a signal.
const pollInterval = 5 * time.Second

// watchSettings reads the settings file at each SIGHUP and every pollInterval, and
// applies it to the node if it has changed.
func watchSettings(ctx context.Context, f settingsFile, n *node.Node, log *zap.Logger) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	text, _ := os.ReadFile(f.path) // If this fails, the next successful read counts as a change.
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reloadSignals:
		case <-ticker.C:
		}
		current, err := os.ReadFile(f.path)
		if err != nil || bytes.Equal(current, text) {
			continue
		}
		text = current
		reload(f.path, text, n, log)
	}
}

// reload applies valid settings to the node. If they are invalid, the previous ones
// stay in force.
func reload(path string, text []byte, n *node.Node, log *zap.Logger) {
	s, err := settings.Parse(path, text)
	if err != nil {
		log.Error("settings file is invalid; the previous settings stay in force", zap.Error(err))
		return
	}
	n.Reload(s)
}

// logBufferBytes bounds the log lines that are buffered while the reader of standard
// output is slow.
const logBufferBytes = 256 << 10

func newLog(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), out, parsed)), nil
}

func newRecorder(s settings.Settings, log *zap.Logger) *event.Recorder {
	return event.NewRecorder(log.With(zap.String("host", s.Host)), s.Log.SampleEvery, s.Log.LinesPerSecond)
}
