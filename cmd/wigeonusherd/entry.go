package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

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

// Run runs the instance until SIGINT or SIGTERM, or only checks its settings.
func (c *entryCommand) Run() error {
	settings, err := entry.LoadSettings(c.Settings)
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
	configureLogger(logger, settings.LogLevel)
	sinkDone := make(chan struct{})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	sinkCtx, stopSink := context.WithCancel(context.Background())
	go func() {
		defer close(sinkDone)
		_ = sink.Run(sinkCtx) // it returns only when the context ends
	}()
	hangups := make(chan os.Signal, 1)
	// SIGHUP stays handled until the process exits: its default action would
	// kill an instance that is still draining.
	signal.Notify(hangups, syscall.SIGHUP)
	instance, err := entry.New(settings, platform.New(settings.StoreAddress), logger)
	if err == nil {
		go c.watchReload(hangups, instance, logger)
		err = instance.Run(ctx)
	}
	if err != nil {
		logger.WithError(err).Error("instance failed")
	}
	stopSink()
	<-sinkDone
	return err
}

// settingsPollInterval is the time between checks of the settings file for
// changes made without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchReload reloads the settings after a SIGHUP and when the settings file has
// changed. It never returns.
func (c *entryCommand) watchReload(hangups <-chan os.Signal, instance *entry.Entry, logger *logrus.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := c.settingsVersion()
	for {
		select {
		case <-hangups:
			current = c.settingsVersion()
		case <-ticker.C:
			version := c.settingsVersion()
			if version == current {
				continue
			}
			current = version
		}
		c.reload(instance, logger)
	}
}

// settingsVersion returns the modification time and size of the settings file,
// which identify a version of it, or "" if the file cannot be examined.
func (c *entryCommand) settingsVersion() string {
	info, err := os.Stat(c.Settings)
	if err != nil {
		return "" // the file is being replaced; the next check finds the new one
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// reload applies the settings file, or logs an error and keeps the previous
// settings if it is invalid.
func (c *entryCommand) reload(instance *entry.Entry, logger *logrus.Logger) {
	settings, err := entry.LoadSettings(c.Settings)
	if err != nil {
		logger.WithError(err).Error("settings invalid; keeping the previous settings")
		return
	}
	configureLogger(logger, settings.LogLevel)
	instance.Reload(settings)
}
