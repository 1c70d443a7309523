package event

import "github.com/apex/log"

// This file defines the events of the caller edge (200-299).

// Events of requests from callers.
var (
	StreamResumed    = define(200, "streamResumed", log.InfoLevel, "A stream from an engine was cut or silent and was taken up again at the next token. Many of these for one server point at its link.")
	GenerationLost   = define(201, "generationLost", log.WarnLevel, "An engine no longer holds a generation that it was running. The caller gets the choice it made: a typed error or a restart.")
	TokensOutOfOrder = define(202, "tokensOutOfOrder", log.ErrorLevel, "An engine sent a token that is foreign, missing, changed or not counted. The token was not passed on. Report it to who runs the engine.")
	CallerLeft       = define(203, "callerLeft", log.DebugLevel, "A caller's connection ended before its answer. The generation runs on for the resume grace.")
	GenerationTaken  = define(204, "generationTaken", log.DebugLevel, "A generation whose caller left goes on at another node; this node gives it up without canceling it.")
	CancelFailed     = define(205, "cancelFailed", log.WarnLevel, "An engine could not be told to cancel a generation whose caller left. It runs on until its end and holds engine memory.")
	NoResumeToken    = define(206, "noResumeToken", log.ErrorLevel, "No resume-token key signs any more, so an answer was begun that its caller cannot resume. Rotate the token key: ferryctl keys token rotate.")
)
