package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node/entry"
	"github.com/wigeonusher/wigeonusher/node/logsink"
	"github.com/wigeonusher/wigeonusher/platform"
)

// entryCommand runs an entry instance on the users' platform.
type entryCommand struct {
	Settings string `help:"JSON file with the instance's settings." type:"existingfile" env:"WIGEONUSHER_SETTINGS" required:""`
	Check    bool   `help:"Check the settings and exit."`
}

// Run implements the command.
func (c *entryCommand) Run() error {
	loaded, err := entry.LoadSettings(c.Settings)
	if err != nil {
		return settingsError{err}
	}
	if c.Check {
		fmt.Println("settings are in order")
		return nil
	}
	sink := logsink.New(os.Stdout)
	logger := logrus.New()
	logger.SetOutput(sink)
	configureLogger(logger, loaded.LogLevel)
	written := make(chan struct{})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logging, endLogging := context.WithCancel(context.Background())
	go func() {
		defer close(written)
		_ = sink.Run(logging) // it only ends with its context
	}()
	hangups := make(chan os.Signal, 1)
	// Hangups are taken until the process ends: one that comes while it stops
	// must not kill it.
	signal.Notify(hangups, syscall.SIGHUP)
	go c.watchReload(hangups, logger)
	instance, err := entry.New(loaded, platform.New(loaded.StoreAddress), logger)
	if err == nil {
		err = instance.Run(ctx)
	}
	if err != nil {
		logger.WithError(err).Error("instance failed")
	}
	endLogging()
	<-written
	return err
}

// watchReload checks the settings at each SIGHUP. What an instance listens on
// and where its platform is stay as they were at the start.
func (c *entryCommand) watchReload(hangups <-chan os.Signal, logger *logrus.Logger) {
	for range hangups {
		loaded, err := entry.LoadSettings(c.Settings)
		if err != nil {
			logger.WithError(err).Error("settings not in order; the former stay in force")
			continue
		}
		configureLogger(logger, loaded.LogLevel)
		logger.WithField("level", loaded.LogLevel).Info("settings read again")
	}
}
