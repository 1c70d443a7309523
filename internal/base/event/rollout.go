// This file defines the events of rollouts and of operators' requests (700-799).

package event

import "github.com/apex/log"

// Events of rollouts.
var (
	ControllerStarted  = define(700, "controllerStarted", log.InfoLevel, "This node controls the rollout of a model. The fencing number increases with each controller.")
	ControllerStopped  = define(701, "controllerStopped", log.WarnLevel, "This node no longer controls the rollout of a model: another node has taken over, or the bundle was replaced.")
	RolloutStep        = define(702, "rolloutStep", log.InfoLevel, "A rollout took a step or reached its verdict, which the head holds.")
	VersionCut         = define(703, "versionCut", log.WarnLevel, "This node sends no more work to a model's new version, because of its own evidence or the controller's verdict. ferryctl rollout list shows the verdict.")
	EvidenceLost       = define(704, "evidenceLost", log.DebugLevel, "Evidence of one period did not reach the controller. It is not sent again; a verdict may take longer.")
	CheckpointUnusable = define(705, "checkpointUnusable", log.WarnLevel, "The progress that the previous controller stored does not fit the rollout. The new version is judged from the start.")
	OrderGiven         = define(710, "orderGiven", log.InfoLevel, "An engine was ordered to load or unload a version.")
	OrderFailed        = define(711, "orderFailed", log.WarnLevel, "An engine did not accept an order. The order is sent again.")
)

// Events of operators' requests.
var (
	OperatorChange  = define(750, "operatorChange", log.InfoLevel, "An operator changed something through this node.")
	OperatorRefused = define(751, "operatorRefused", log.WarnLevel, "A request of an operator was refused. Repeated unauthenticated ones may be an attempt to break in.")
)
