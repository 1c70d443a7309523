package rollout

import "maps"

// This file defines how a judge counts the deaths of servers.

// deathsKept is how many windows back a death is remembered; later reports of it do not count.
const failureWindowsKept = 30

// Tests how often servers die with the new version on them against how often others die. Each death counts
// once, however many nodes and requests see it. A version that runs nearly everywhere has no control.
func (j *Judge) addServerFailures(e Evidence) {
	if j.servers == 0 || e.Empty() {
		return
	}
	with, without := j.newServerFailures(e)
	used := min(e.uses(j.version), j.servers)
	if e.Uses[Use{j.version, everywhere}] {
		used = j.servers
	}
	candidate := counts{N: max(used, with), Bad: with}
	control := counts{N: max(j.servers-used, without), Bad: without}
	alone := float64(candidate.N) >= withoutControlShare*float64(j.servers)
	j.updateComparison(comparisonKey{metric: metricServerFailures}, [2]counts{candidate, control}, j.toleratedRate(metricServerFailures, j.controlServerFailures), alone)
	j.controlServerFailures.N += control.N
	j.controlServerFailures.Bad += control.Bad
}

// Returns the deaths that are not counted yet of servers with the new version and of others.
func (j *Judge) newServerFailures(e Evidence) (with, without int) {
	ran := make(map[ServerFailure]bool) // deaths without their version, by whether the new version ran there
	for d := range e.ServerFailures {
		if d.Version != j.version && !j.control[d.Version] {
			continue
		}
		at := ServerFailure{Server: d.Server, Window: d.Window}
		if d.Window < j.lastFailureWindow-failureWindowsKept || j.counted(at) {
			continue
		}
		ran[at] = ran[at] || d.Version == j.version || e.Uses[Use{j.version, d.Server}]
	}
	for at, candidate := range ran {
		if _, same := ran[ServerFailure{Server: at.Server, Window: at.Window - 1}]; same {
			continue
		}
		if candidate {
			with++
		} else {
			without++
		}
	}
	for at := range ran {
		j.serverFailures[at] = true
		j.lastFailureWindow = max(j.lastFailureWindow, at.Window)
	}
	maps.DeleteFunc(j.serverFailures, func(d ServerFailure, _ bool) bool { return d.Window < j.lastFailureWindow-failureWindowsKept })
	return with, without
}

// Reports whether a death, or the same one in a neighbouring window, was counted before.
func (j *Judge) counted(at ServerFailure) bool {
	return j.serverFailures[at] || j.serverFailures[ServerFailure{Server: at.Server, Window: at.Window - 1}] || j.serverFailures[ServerFailure{Server: at.Server, Window: at.Window + 1}]
}
