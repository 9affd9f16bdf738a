// Command wigeonusherd runs one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node"
	"github.com/wigeonusher/wigeonusher/node/settings"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

type arguments struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Run an instance with the project's own interface."`
	Entry entryCommand `cmd:"" help:"Run an entry instance on the users' platform."`
}

// settingsError marks an error in the settings, for which the process exits
// with exitInvalidSettings.
type settingsError struct{ cause error }

func (e settingsError) Error() string { return e.cause.Error() }

func main() {
	var args arguments
	command := kong.Parse(&args,
		kong.Name("wigeonusherd"),
		kong.Description("Runs one entry instance of the router. Exit codes: 0 stopped or settings in order, 1 failed, 2 settings not in order."))
	err := command.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if _, ok := err.(settingsError); ok {
		os.Exit(exitInvalidSettings)
	}
	os.Exit(exitFailed)
}

// serveCommand runs an instance with the project's own interface.
type serveCommand struct {
	Settings string `arg:"" help:"JSON file with the instance's settings." type:"existingfile"`
	Check    bool   `help:"Check the settings and exit."`
}

// Run runs the instance until SIGINT or SIGTERM, or only checks its settings.
func (c *serveCommand) Run() error {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return settingsError{err}
	}
	if c.Check {
		fmt.Println("settings are in order")
		return nil
	}
	logger := logrus.New()
	configureLogger(logger, loaded.LogLevel)
	return serve(loaded, logger)
}

// configureLogger sets the JSON format and the level. An unknown level leaves
// the logger's level unchanged.
func configureLogger(logger *logrus.Logger, level string) {
	logger.SetFormatter(&logrus.JSONFormatter{})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
}

// serve runs an instance until SIGINT or SIGTERM.
func serve(loaded settings.Settings, logger *logrus.Logger) error {
	instance, err := node.New(loaded, node.Options{Logger: logger})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	addresses := instance.Addresses()
	logger.WithFields(logrus.Fields{
		"instance": instance.ID(), "callers": addresses.Caller, "peers": addresses.Peer, "admin": addresses.Admin,
	}).Info("instance starts")
	return instance.Run(ctx)
}
