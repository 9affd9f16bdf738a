package crashcause_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
)

// BenchmarkAdmit measures a decision on a calm day, and one beside many crashes.
func BenchmarkAdmit(b *testing.B) {
	for _, crashes := range []int{0, 4, 128} {
		b.Run(fmt.Sprintf("%d crashes", crashes), func(b *testing.B) {
			l := crashcause.New()
			now := start
			for n := range crashes {
				var requests [][]crashcause.Use
				for r := range 64 {
					requests = append(requests, uses(uint64(n*64+r+1), "route", fmt.Sprint("subject", r), fmt.Sprint("bad", n%3)))
				}
				crash(l, n, now, requests...)
			}
			request := uses(1<<40, "route", "sound")
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if decision := l.Admit(now, request); decision.Permission == crashcause.Alone {
					l.EndTrial(decision.Features...)
				}
			}
		})
	}
}
