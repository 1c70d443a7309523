package rollout

import "maps"

// failureWindowsKept is for how many windows a judge keeps a server failure. Later reports of the failure do not
// count.
const failureWindowsKept = 30

// addServerFailures compares how often servers fail that run the new version with how often other servers fail. Each
// failure counts once, however many nodes and requests see it. A version that runs on nearly all servers has no
// control.
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
	noControl := float64(candidate.N) >= withoutControlShare*float64(j.servers)
	j.updateComparison(comparisonKey{metric: metricServerFailures}, [2]counts{candidate, control}, j.toleratedRate(metricServerFailures, j.controlServerFailures), noControl)
	j.controlServerFailures.N += control.N
	j.controlServerFailures.Bad += control.Bad
}

// newServerFailures returns how many servers with the new version and how many others failed, without the failures
// that are already counted.
func (j *Judge) newServerFailures(e Evidence) (with, without int) {
	ran := make(map[ServerFailure]bool) // whether the new version ran there, by failure without its version
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

// counted reports whether a failure was counted before, in its own window or in a neighbouring one.
func (j *Judge) counted(at ServerFailure) bool {
	return j.serverFailures[at] || j.serverFailures[ServerFailure{Server: at.Server, Window: at.Window - 1}] || j.serverFailures[ServerFailure{Server: at.Server, Window: at.Window + 1}]
}
