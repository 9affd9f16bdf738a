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
	exitFailed   = 1
	exitSettings = 2
)

type arguments struct {
	Settings string `arg:"" help:"JSON file with the instance's settings." type:"existingfile"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var args arguments
	kong.Parse(&args,
		kong.Name("wigeonusherd"),
		kong.Description("Runs one entry instance of the router. Exit codes: 0 stopped or settings in order, 1 failed, 2 settings not in order."))
	loaded, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println("settings are in order")
		return
	}
	logger := newLogger(loaded.LogLevel)
	if err := serve(loaded, logger); err != nil {
		logger.WithError(err).Error("instance failed")
		os.Exit(exitFailed)
	}
}

func newLogger(level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}

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
