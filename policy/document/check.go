package document

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/wigeonusher/wigeonusher/coord/finding"
)

// MaxExploreShare bounds [Routing.ExploreShare].
const MaxExploreShare = 0.2

func (p *Policy) check(findings *finding.List) {
	p.checkAccounts(findings)
	p.checkModels(findings)
	p.checkRollouts(findings)
	p.checkPools(findings)
	p.checkServices(findings)
	p.checkRouting(findings)
}

func (p *Policy) checkAccounts(findings *finding.List) {
	owners := map[string]AccountID{}
	for id, account := range p.Accounts {
		at := func(path ...string) string {
			return pointer(SectionAccounts, append([]string{string(id)}, path...)...)
		}
		if account.RequestsPerSecond <= 0 {
			findings.Add(at("requests_per_second"), "must be above 0", "state the account's limit over the whole fleet")
		}
		if account.Burst < 1 {
			findings.Add(at("burst"), "must be at least 1", "")
		}
		if account.Weight < 0 {
			findings.Add(at("weight"), "must not be negative", "")
		}
		for i, hash := range account.KeyHashes {
			p.checkKeyHash(findings, at("key_hashes", index(i)), id, hash, owners)
		}
		for i, grant := range account.Allow {
			p.checkGrant(findings, at("allow", index(i)), grant)
		}
		for i, service := range account.Services {
			if _, ok := p.Services[service]; !ok {
				findings.Add(at("services", index(i)), fmt.Sprintf("unknown service %q", service), "add it to the services section first")
			}
		}
	}
}

func (p *Policy) checkKeyHash(findings *finding.List, at string, id AccountID, hash string, owners map[string]AccountID) {
	const digestBytes = 32
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != digestBytes {
		findings.Add(at, "must be a hex SHA-256 digest", "hash the key; never put the key itself here")
		return
	}
	lower := strings.ToLower(hash)
	if owner, taken := owners[lower]; taken && owner != id {
		first, second := min(owner, id), max(owner, id)
		findings.Add(at, fmt.Sprintf("key shared by accounts %q and %q", first, second), "give each account keys of its own")
	}
	owners[lower] = id
}

func (p *Policy) checkGrant(findings *finding.List, at string, grant Grant) {
	model, ok := p.Models[grant.Model]
	if !ok {
		findings.Add(at+"/model", fmt.Sprintf("unknown model %q", grant.Model), "add it to the models section first")
		return
	}
	for i, version := range grant.Versions {
		if _, ok := model.Versions[version]; !ok {
			findings.Add(at+"/versions/"+index(i), fmt.Sprintf("unknown version %q", version), "")
		}
	}
}

func (p *Policy) checkModels(findings *finding.List) {
	for name, model := range p.Models {
		at := func(path ...string) string {
			return pointer(SectionModels, append([]string{string(name)}, path...)...)
		}
		stable, ok := model.Versions[model.Stable]
		if !ok {
			findings.Add(at("stable"), fmt.Sprintf("unknown version %q", model.Stable), "")
		} else if stable.State == VersionWithdrawn {
			findings.Add(at("stable"), "is withdrawn", "name a serving version as stable in the same edit")
		}
		for versionName, version := range model.Versions {
			if version.State != VersionServing && version.State != VersionWithdrawn {
				findings.Add(at("versions", string(versionName), "state"), fmt.Sprintf("unknown state %q", version.State), "use serving or withdrawn")
			}
			if version.PromptCost < 0 || version.AnswerCost < 0 {
				findings.Add(at("versions", string(versionName)), "costs must not be negative", "")
			}
		}
	}
}

func (p *Policy) checkRollouts(findings *finding.List) {
	running := map[ModelName]RolloutID{}
	for id, rollout := range p.Rollouts {
		at := func(path ...string) string {
			return pointer(SectionRollouts, append([]string{string(id)}, path...)...)
		}
		model, ok := p.Models[rollout.Model]
		if !ok {
			findings.Add(at("model"), fmt.Sprintf("unknown model %q", rollout.Model), "")
		} else if _, ok := model.Versions[rollout.Candidate]; !ok {
			findings.Add(at("candidate"), fmt.Sprintf("unknown version %q", rollout.Candidate), "")
		}
		states := []RolloutState{RolloutRunning, RolloutPaused, RolloutAborted}
		if !slices.Contains(states, rollout.State) {
			findings.Add(at("state"), fmt.Sprintf("unknown state %q", rollout.State), "use running, paused or aborted")
		}
		if rollout.State == RolloutRunning {
			if other, taken := running[rollout.Model]; taken {
				findings.Add(pointer(SectionRollouts, string(max(id, other))), fmt.Sprintf("model %q has a running roll-out already", rollout.Model), "finish that one first")
			}
			running[rollout.Model] = id
		}
		checkSteps(findings, at, rollout)
	}
}

func checkSteps(findings *finding.List, at func(...string) string, rollout Rollout) {
	if len(rollout.Steps) == 0 {
		findings.Add(at("steps"), "must not be empty", "")
	}
	last := 0.0
	for i, step := range rollout.Steps {
		if step <= last || step > 1 {
			findings.Add(at("steps", index(i)), "must rise and stay in (0, 1]", "")
		}
		last = step
	}
	if rollout.Budget < 1 {
		findings.Add(at("budget"), "must be at least 1", "")
	}
	if rollout.MaxErrorRate <= 0 || rollout.MaxErrorRate >= 1 {
		findings.Add(at("max_error_rate"), "must be in (0, 1)", "")
	}
}

func (p *Policy) checkPools(findings *finding.List) {
	for name, pool := range p.Pools {
		at := func(path ...string) string {
			return pointer(SectionEndpoints, append([]string{string(name)}, path...)...)
		}
		if pool.Slots < 1 {
			findings.Add(at("slots"), "must be at least 1", "")
		}
		if (len(pool.Serves) > 0) == (pool.Service != "") {
			findings.Add(at(), "must serve either models or one service", "")
		}
		if pool.Service != "" {
			if _, ok := p.Services[pool.Service]; !ok {
				findings.Add(at("service"), fmt.Sprintf("unknown service %q", pool.Service), "add it to the services section first")
			}
		}
		for i, ref := range pool.Serves {
			if _, ok := p.Models[ref.Model].Versions[ref.Version]; !ok {
				findings.Add(at("serves", index(i)), fmt.Sprintf("unknown version %q", ref), "")
			}
		}
	}
}

func (p *Policy) checkServices(findings *finding.List) {
	for name, service := range p.Services {
		at := func(path ...string) string {
			return pointer(SectionServices, append([]string{string(name)}, path...)...)
		}
		if service.TimeoutMillis < 1 {
			findings.Add(at("timeout_ms"), "must be at least 1", "")
		}
		for i, rule := range service.Rules {
			if !strings.HasPrefix(rule.PathPrefix, "/") {
				findings.Add(at("rules", index(i), "path_prefix"), "must begin with /", "")
			}
			if rule.Method == "" {
				findings.Add(at("rules", index(i), "method"), "must not be empty", "")
			}
		}
	}
}

func (p *Policy) checkRouting(findings *finding.List) {
	routing := p.Routing
	if routing.ExploreShare < 0 || routing.ExploreShare > MaxExploreShare {
		findings.Add(pointer(SectionRouting, "explore_share"), "must be in [0, 0.2]", "")
	}
	if _, ok := routing.Classes[routing.DefaultClass]; !ok && len(routing.Classes) > 0 {
		findings.Add(pointer(SectionRouting, "default_class"), fmt.Sprintf("unknown class %q", routing.DefaultClass), "")
	}
	for class, rule := range routing.Classes {
		at := func(path ...string) string {
			return pointer(SectionRouting, append([]string{"classes", string(class)}, path...)...)
		}
		if rule.QualityTarget <= 0 || rule.QualityTarget > 1 {
			findings.Add(at("quality_target"), "must be in (0, 1]", "")
		}
		if rule.DeadlineMillis < 1 {
			findings.Add(at("deadline_ms"), "must be at least 1", "")
		}
		if rule.CostWeight < 0 || rule.LatencyWeight < 0 {
			findings.Add(at(), "weights must not be negative", "")
		}
		if len(rule.Models) == 0 {
			findings.Add(at("models"), "must not be empty", "")
		}
		for i, model := range rule.Models {
			if _, ok := p.Models[model]; !ok {
				findings.Add(at("models", index(i)), fmt.Sprintf("unknown model %q", model), "")
			}
		}
	}
}
