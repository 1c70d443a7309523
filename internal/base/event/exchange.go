// This file defines the events of exchanges with backend servers (400-449) and of the node's mirror of the store
// (450-499).

package event

import "github.com/apex/log"

// Events of exchanges.
var (
	RequestServed     = define(400, "requestServed", log.InfoLevel, "A backend server's answer was passed on completely; status is the server's. end says how the end of a stream is known: marked by the server, with a length or a last chunk, or closed, by nothing but the close of its connection.")
	RequestRefused    = define(401, "requestRefused", log.InfoLevel, "The system refused a request, and no part of it has run; reason says why.")
	RequestFailed     = define(402, "requestFailed", log.WarnLevel, "A request was sent to a backend server, and its complete answer did not reach the caller; reason says why.")
	RequestAbandoned  = define(403, "requestAbandoned", log.InfoLevel, "The caller closed its connection before its answer was complete.")
	RequestsServed    = define(404, "requestsServed", log.InfoLevel, "Further requests were served in the last second, without lines of their own; requests says how many.")
	GenerationPlaced  = define(405, "generationPlaced", log.InfoLevel, "A generation is sent to an engine. streams, runTokens and prefillTokens are the engine's load as the node knew it, loadsAgeMs is the age of the oldest report of other nodes in it, and copy is the engine that keeps a copy of the run.")
	RequestRepeated   = define(411, "requestRepeated", log.InfoLevel, "A backend server failed a request or did not run it, and the request is sent to another one; cause says what happened.")
	ServerUnreachable = define(410, "serverUnreachable", log.WarnLevel, "A connection to a backend server was refused, cut or not answered, or its answer was none, for example of status 000; cause says which. The node avoids the server for a moment.")
	ServerRateChanged = define(412, "serverRateChanged", log.InfoLevel, "A backend server names in its answers how many requests perSecond it accepts from all nodes together, or another number than before, or none any more (0).")
	ServerBackoff     = define(413, "serverBackoff", log.InfoLevel, "A backend server said in an answer that it wants no requests from this node for a time. The node sends it none until then.")
	ServerLeaving     = define(414, "serverLeaving", log.InfoLevel, "A backend server said in an answer that it leaves. The node sends it no new work and moves its runs.")
	DigestMalformed   = define(415, "digestMalformed", log.WarnLevel, "The digest of a kind of state that a node sent is malformed, and nothing of it is used.")
	LoadMalformed     = define(416, "loadMalformed", log.WarnLevel, "A backend server's answer states its load in a form that is not known, and nothing of it is used. Report the value to the server's operators; unlogged says how many such answers had no line.")
	ServerSpeedTurned = define(417, "serverSpeedTurned", log.InfoLevel, "A backend server takes longer at the moment than its hardware does (slow true), or as long as usual again. factor says how much longer, as the server states it or as its events show. The node sends it less until then; unlogged says how many such changes had no line.")
	PlacedOnSlow      = define(418, "placedOnSlow", log.InfoLevel, "A generation waited for its first event on a backend server that turned slow, after the generation was placed or unknown to the node. factor says how much longer work takes there, firstMs when the first event came; unlogged says how many such generations had no line.")
	WeightMalformed   = define(419, "weightMalformed", log.WarnLevel, "The weight of a number of client accounts in the operators' config is zero or below and counts as one; account is the first of them.")
	ServerPathChanged = define(423, "serverPathChanged", log.InfoLevel, "This node's own path to a backend server stopped working (works false), or works again. Meanwhile, connections to the server pass through other nodes that reach it. Many servers at one node and few at others: the node is cut off from them. At most ten lines a second.")
	StreamContinued   = define(420, "streamContinued", log.InfoLevel, "A stream broke and continues at the server that holds a copy of its memory, after the last event that reached the caller.")
	StreamLost        = define(421, "streamLost", log.WarnLevel, "A stream broke and no server could continue it.")
	MoveFailed        = define(422, "moveFailed", log.WarnLevel, "A run could not be moved to another server, or (stop true) not be stopped or its last memory not be copied. If its server ends before the next attempt, its stream continues from an earlier copy, or is lost if there is none.")
	RunStopOrdered    = define(424, "runStopOrdered", log.InfoLevel, "A backend server was asked to stop a run and to copy its memory to another server (to): because it leaves (for is move), sends no events (silent), its stream broke off (broken), its answer to a continuation is lost (lost), or the run goes on elsewhere while the server may have it in its queue (queued, again every 250 ms). answer is stopped, stoppedNotCopied (the server keeps the memory), noSuchRun, refused, notSent (no connection was made) or lost (the run may have stopped). At most 50 lines a second.")
	StreamEndJudged   = define(425, "streamEndJudged", log.InfoLevel, "A stream or another answer ended without a mark of its end, or a stream after its server was asked to stop its run. end is marked, closed (in order) or broken; stop is what the server said of its run: notStopped, pending, maybeStopped (an answer is lost) or stopped; asked is whether the server runs since, if it was asked. A stream that is not whole continues elsewhere (420) or is lost (421). At most 50 lines a second.")
	ContinuationLost  = define(427, "continuationLost", log.WarnLevel, "A run was sent to the backend server that holds its copy, and the answer is lost, so that this server may work on it. It is ordered to stop the run (428) before the run goes on anywhere.")
	LostRunEnded      = define(428, "lostRunEnded", log.InfoLevel, "A backend server whose answer to a continuation is lost (427) was ordered to stop the run. ended is stopped, notThere (it has no such run), unreachable, or goesOn (it does not say that it has stopped it): then the stream is broken off (421) unless its own server still sends events.")
	AnswerWithheld    = define(426, "answerWithheld", log.WarnLevel, "A backend server gave status, which assures a caller that its request has not run, but did not state that it had not run the request. As the request may not be repeated, the caller got a failure that assures it of nothing (402, reason withheld). A server that often does this fails requests that it runs.")
	BeginningCrashed  = define(440, "beginningCrashed", log.WarnLevel, "A backend server broke off an answer that had just begun, and had not announced that it stops. parts are fingerprints of the whole request and of the parts of its prompt; a part in several such lines may crash servers.")
	PartQuarantined   = define(441, "partQuarantined", log.ErrorLevel, "Requests with these parts crash the backend servers that begin to answer them, and no node has seen an answer to one since. All nodes refuse requests with all of them for forMs.")
	VerdictsUnwritten = define(442, "verdictsUnwritten", log.WarnLevel, "The parts of requests that crash backend servers could not be written to the store. Nodes that start meanwhile do not know them; the node tries again.")
	ConfigInForce     = define(430, "configInForce", log.InfoLevel, "The node applies a new version of the operators' config.")
	ConfigUnreadable  = define(431, "configUnreadable", log.ErrorLevel, "The operators' config in the store cannot be read. The node keeps the config in force.")
	ServerListed      = define(432, "serverListed", log.InfoLevel, "A backend server has registered, or its state has changed.")
	ServerGone        = define(433, "serverGone", log.InfoLevel, "A backend server's entry was removed from the store; lapsed says that this happened during an outage of the store, so the server stays in use for a grace period.")
	EntryUnreadable   = define(434, "entryUnreadable", log.WarnLevel, "An entry in the store does not describe a usable server: its fields are missing, of another type or not known.")
	RolloutOrdered    = define(436, "rolloutOrdered", log.InfoLevel, "Operators direct a service's requests to a new version of its servers (on true), or that order has ended.")
	RolloutDecided    = define(437, "rolloutDecided", log.WarnLevel, "This node wrote the state of a rollout to the store: running, completed or rolled back. evidence counts the answers (n), failures (f) and gaps between events (g) of both versions, with the sums of their seconds (s, gs).")
	RolloutUnwritten  = define(438, "rolloutUnwritten", log.WarnLevel, "The state of a rollout could not be written to the store. The first of the nodes that watch the store tries again.")
	DomainEvacuated   = define(435, "domainEvacuated", log.InfoLevel, "Operators exclude the servers of a failure domain from new work (on true), or admit them again.")
)

// Events of the node's mirror of the store.
var (
	StoreLost           = define(450, "storeLost", log.WarnLevel, "The node has received no confirmation of its data from the store, directly or through other nodes, for longer than a watch lasts. It continues with the data that it has.")
	StoreRegained       = define(451, "storeRegained", log.InfoLevel, "The node receives confirmations from the store again.")
	StoreRestored       = define(453, "storeRestored", log.WarnLevel, "The store came back from an earlier copy and begins a new era: what was written since the copy is gone until its writers write it again. revision is the number at which the node reads it first, heldEra and heldRevision are what the node had before.")
	SourcesChanged      = define(454, "sourcesChanged", log.InfoLevel, "The nodes from which this one receives the store's data changed, or whether they confirm it. sources are these nodes, watcher says that this node watches the store for others, confirmed that a source confirms the data, refused that this node's last call to the store failed, and substitute is another node that this one follows meanwhile. At most one line a second, with the latest state.")
	LargeAnswer         = define(455, "largeAnswer", log.InfoLevel, "A large answer of a followed node arrived. bytes is its size, firstByteMs and arrivedMs are times since the request, a part of which the node may have held it; applyMs is how long it took to decode and to apply.")
	AnswerGivenUp       = define(456, "answerGivenUp", log.WarnLevel, "The answer of a followed node or, without from, of the store did not arrive in time. bytes is how much of it had arrived and firstByteMs when it began, 0 if it did not: without a first byte the peer was silent or its answer waited, with one the link was too slow for its size. At most one line a second.")
	ValueArrived        = define(457, "valueArrived", log.InfoLevel, "A large value arrived from another node. bytes is its size, packedBytes what was sent of it, difference says that this was the difference to an older value, calls counts the requests for its parts, tookMs is the time since the node learnt of it.")
	ConfirmationDelayed = define(452, "confirmationDelayed", log.InfoLevel, "An answer of a node that this one follows was on its way for delayMs: a link lost packets, or one of both nodes did not run. The confirmation in it is that much older than the ageMs that it states.")
)
