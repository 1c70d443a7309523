package rollout

import "maps"

// This file defines how a judge counts the deaths of servers.

// deathsKept is how many windows back a death is remembered; later reports of it do not count.
const deathsKept = 30

// Tests how often servers die with the new version on them against how often others die. Each death counts
// once, however many nodes and requests see it. A version that runs nearly everywhere has no control.
func (j *Judge) addDeaths(e Evidence) {
	if j.servers == 0 || e.Empty() {
		return
	}
	with, without := j.newDeaths(e)
	used := min(e.uses(j.version), j.servers)
	if e.Uses[Use{j.version, everywhere}] {
		used = j.servers
	}
	fresh := counts{N: max(used, with), Bad: with}
	control := counts{N: max(j.servers-used, without), Bad: without}
	alone := float64(fresh.N) >= aloneFrom*float64(j.servers)
	j.test(comparisonKey{metric: metricKills}, [2]counts{fresh, control}, j.tolerated(metricKills, j.spared), alone)
	j.spared.N += control.N
	j.spared.Bad += control.Bad
}

// Returns the deaths that are not counted yet of servers with the new version and of others.
func (j *Judge) newDeaths(e Evidence) (with, without int) {
	ran := make(map[ServerFailure]bool) // deaths without their version, by whether the new version ran there
	for d := range e.ServerFailures {
		if d.Version != j.version && !j.control[d.Version] {
			continue
		}
		at := ServerFailure{Server: d.Server, Window: d.Window}
		if d.Window < j.lastDeath-deathsKept || j.counted(at) {
			continue
		}
		ran[at] = ran[at] || d.Version == j.version || e.Uses[Use{j.version, d.Server}]
	}
	for at, fresh := range ran {
		if _, same := ran[ServerFailure{Server: at.Server, Window: at.Window - 1}]; same {
			continue
		}
		if fresh {
			with++
		} else {
			without++
		}
	}
	for at := range ran {
		j.deaths[at] = true
		j.lastDeath = max(j.lastDeath, at.Window)
	}
	maps.DeleteFunc(j.deaths, func(d ServerFailure, _ bool) bool { return d.Window < j.lastDeath-deathsKept })
	return with, without
}

// Reports whether a death, or the same one in a neighbouring window, was counted before.
func (j *Judge) counted(at ServerFailure) bool {
	return j.deaths[at] || j.deaths[ServerFailure{Server: at.Server, Window: at.Window - 1}] || j.deaths[ServerFailure{Server: at.Server, Window: at.Window + 1}]
}
