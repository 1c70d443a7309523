// This file defines the events of singleton duties (800-849).

package event

import "github.com/apex/log"

// Events of singleton duties.
var (
	DutyAcquired      = define(800, "dutyAcquired", log.InfoLevel, "This node holds a duty, and acts once the lease of an earlier holder has surely ended. token is the fencing token, previous the last holder that the node knows.")
	DutyLost          = define(801, "dutyLost", log.InfoLevel, "This node does not hold a duty any more: it drains, its lease expired while the store did not confirm a renewal, or the store came back without it.")
	DutyNotAcquired   = define(802, "dutyNotAcquired", log.WarnLevel, "The store did not let this node hold a duty, or did not answer. A candidate tries again.")
	DutyNotReleased   = define(803, "dutyNotReleased", log.WarnLevel, "The store did not confirm that this node released a duty. The next holder waits until the lease ends by itself.")
	UsageReported     = define(810, "usageReported", log.InfoLevel, "The platform took the report of a window. requests is its sum, ageMs how long ago the window ended.")
	UsageUnreported   = define(811, "usageUnreported", log.WarnLevel, "A call with the report of a window failed or was not answered. The same report is sent again.")
	UsageSummed       = define(812, "usageSummed", log.InfoLevel, "The store holds the report of a window, which is never summed again. missing names the nodes whose counts are not complete, share is the estimated part of the requests that is missing.")
	UsageDropped      = define(813, "usageDropped", log.ErrorLevel, "The windows from first to last are not reported: the counts of too many requests did not arrive in time, or the platform refused the report. cause says which.")
	UsageUnstored     = define(814, "usageUnstored", log.WarnLevel, "The store did not confirm that it holds a report. It is not sent until the store does.")
	UsageUnreadable   = define(815, "usageUnreadable", log.ErrorLevel, "The entry of the store with the reports is malformed. Windows that may have been reported are not reported again. Find out which other program wrote it.")
	CountsRejected    = define(816, "countsRejected", log.WarnLevel, "Counts of requests that a node sent are malformed, or of windows that are too old or in the future. Check the clock of that node.")
	ServersOrdered    = define(830, "serversOrdered", log.InfoLevel, "The platform took an order of the number of servers of a service in a failure domain.")
	ServersNotOrdered = define(831, "serversNotOrdered", log.WarnLevel, "A call with an order of servers failed or was not answered. The order is given again while it holds.")
	ClockJumped       = define(820, "clockJumped", log.WarnLevel, "The wall clock jumped by jumpMs against the monotonic clock. Windows of usage go on as before, unless most other nodes agree with the wall clock.")
	ClockCorrected    = define(821, "clockCorrected", log.WarnLevel, "Most other nodes agree on a time that differs by byMs from that of this node, which now uses theirs for windows of usage. Check the clock of the VM.")
	CountsIncomplete  = define(817, "countsIncomplete", log.WarnLevel, "A node that may hold further counts of a window did not answer before it was summed.")
)
