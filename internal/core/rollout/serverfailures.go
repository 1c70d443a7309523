package rollout

import "maps"

// failureWindowsKept is the number of windows for which a judge keeps a server failure. Reports of the failure that
// arrive later do not count.
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
	for reported := range e.ServerFailures {
		if reported.Version != j.version && !j.control[reported.Version] {
			continue
		}
		failure := ServerFailure{Server: reported.Server, Window: reported.Window}
		if reported.Window < j.lastFailureWindow-failureWindowsKept || j.counted(failure) {
			continue
		}
		ran[failure] = ran[failure] || reported.Version == j.version || e.Uses[Use{j.version, reported.Server}]
	}
	for failure, candidate := range ran {
		if _, same := ran[ServerFailure{Server: failure.Server, Window: failure.Window - 1}]; same {
			continue
		}
		if candidate {
			with++
		} else {
			without++
		}
	}
	for failure := range ran {
		j.serverFailures[failure] = true
		j.lastFailureWindow = max(j.lastFailureWindow, failure.Window)
	}
	maps.DeleteFunc(j.serverFailures, func(f ServerFailure, _ bool) bool { return f.Window < j.lastFailureWindow-failureWindowsKept })
	return with, without
}

// counted reports whether a failure was counted before, in its own window or in a neighbouring one.
func (j *Judge) counted(failure ServerFailure) bool {
	return j.serverFailures[failure] || j.serverFailures[ServerFailure{Server: failure.Server, Window: failure.Window - 1}] || j.serverFailures[ServerFailure{Server: failure.Server, Window: failure.Window + 1}]
}
