// This file defines the events of requests from callers (200-299).

package event

import "github.com/apex/log"

// Events of requests from callers.
var (
	StreamResumed    = define(200, "streamResumed", log.InfoLevel, "A stream from an engine broke or went silent, and the node resumed it at the next token. Many of these for one server point at its link.")
	GenerationLost   = define(201, "generationLost", log.WarnLevel, "An engine no longer holds a generation that it was running. The caller gets what it chose for this case: a typed error or a restart.")
	TokensOutOfOrder = define(202, "tokensOutOfOrder", log.ErrorLevel, "An engine's stream has a token of another generation, or a token that is missing, changed or not counted. The token was not passed on. Report it to the operators of the engine.")
	CallerLeft       = define(203, "callerLeft", log.DebugLevel, "A caller's connection ended before its answer was complete. The generation continues for the resume grace.")
	GenerationTaken  = define(204, "generationTaken", log.DebugLevel, "Another node resumed a generation whose caller left. This node stops relaying it without canceling it.")
	CancelFailed     = define(205, "cancelFailed", log.WarnLevel, "A generation whose caller left could not be canceled at its engine. It runs to its end and occupies engine memory.")
	NoResumeToken    = define(206, "noResumeToken", log.ErrorLevel, "No resume-token key is valid for signing any more, so a caller cannot resume the answer that was started for it. Rotate the token key: ferryctl keys token rotate.")
)
