package load

import (
	"cmp"
	"slices"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
)

const (
	largeAccountWeight = 5
	smallAccountWeight = 1
	largeAccountRate   = 200 // requests per second; at this limit or above, an account is large
)

// classTemplates holds the traffic of each task class of the built-in
// deployments, without name and model.
var classTemplates = map[document.TaskClass]Class{
	fixture.ClassTagging: {Weight: 60, PromptWords: Range{20, 60}, AnswerTokens: Range{4, 12}, StreamShare: 0.2},
	fixture.ClassLookup:  {Weight: 25, PromptWords: Range{30, 120}, AnswerTokens: Range{16, 60}, StreamShare: 0.5},
	fixture.ClassSummary: {Weight: 15, PromptWords: Range{200, 600}, AnswerTokens: Range{60, 160}, StreamShare: 0.9},
	fixture.ClassNotes:   {Weight: 25, PromptWords: Range{60, 200}, AnswerTokens: Range{30, 90}, StreamShare: 0.6},
	fixture.ClassDossier: {Weight: 25, PromptWords: Range{250, 700}, AnswerTokens: Range{80, 200}, StreamShare: 0.95},
}

// MixFor returns the default mix for a built-in deployment, without the
// addresses of its instances.
func MixFor(deployment *fixture.Deployment) Mix {
	mix := Mix{
		Seed:         1,
		SessionShare: 0.1,
		SessionTurns: 4,
		Service:      &Service{Name: string(deployment.Service), Share: 0.2, ReadShare: 0.5},
		VirtualUsers: 24,
		ThinkMillis:  40,
		MaxRequests:  100_000,
		MaxSeconds:   10,
	}
	for id, account := range deployment.Accounts {
		weight := float64(smallAccountWeight)
		if account.RequestsPerSecond >= largeAccountRate {
			weight = largeAccountWeight
		}
		mix.Accounts = append(mix.Accounts, Account{ID: string(id), Key: deployment.Keys[id], Weight: weight})
	}
	slices.SortFunc(mix.Accounts, func(a, b Account) int { return cmp.Compare(a.ID, b.ID) })
	for name := range deployment.Routing.Classes {
		class := classTemplates[name]
		class.Name = string(name)
		class.Model = "auto"
		mix.Classes = append(mix.Classes, class)
	}
	slices.SortFunc(mix.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	return mix
}
