package fleetlimit_test

import (
	"testing"

	"github.com/wigeonusher/wigeonusher/coord/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261205") }
