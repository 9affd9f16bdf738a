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
	instance, err := entry.New(loaded, platform.New(loaded.StoreAddress), logger)
	if err == nil {
		go c.watchReload(hangups, instance, logger)
		err = instance.Run(ctx)
	}
	if err != nil {
		logger.WithError(err).Error("instance failed")
	}
	endLogging()
	<-written
	return err
}

// settingsInterval is the time between looks whether the settings file has
// changed: it may without a signal.
const settingsInterval = 2 * time.Second

// watchReload reads the settings again at each SIGHUP and when their file has
// changed.
func (c *entryCommand) watchReload(hangups <-chan os.Signal, instance *entry.Entry, logger *logrus.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	known := c.settingsVersion()
	for {
		select {
		case <-hangups:
			known = c.settingsVersion()
		case <-ticker.C:
			version := c.settingsVersion()
			if version == known {
				continue
			}
			known = version
		}
		c.reload(instance, logger)
	}
}

// settingsVersion tells one state of the settings file from another.
func (c *entryCommand) settingsVersion() string {
	info, err := os.Stat(c.Settings)
	if err != nil {
		return "" // the file is being replaced; it shows at the next look
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

func (c *entryCommand) reload(instance *entry.Entry, logger *logrus.Logger) {
	loaded, err := entry.LoadSettings(c.Settings)
	if err != nil {
		logger.WithError(err).Error("settings not in order; the former stay in force")
		return
	}
	configureLogger(logger, loaded.LogLevel)
	instance.Reload(loaded)
}
