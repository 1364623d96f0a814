package explain

import "github.com/jackdawloom/jackdawloom/internal/edge/dispatch"

// advice explains a failure reason to the operator: its cause, and the next step.
type advice struct{ cause, next string }

var adviceByReason = map[dispatch.Reason]advice{
	dispatch.NoTarget: {
		"no target of the service was registered and ready",
		"look for 'target draining' and 'target gone'; without any, the service's targets do not reach the store",
	},
	dispatch.NoOwner: {
		"the key's range had no owner in the table of this daemon",
		"look for 'release ended' and 'range table written' at the coordinator; a range of a target that fell silent is free only once its last grant has run out",
	},
	dispatch.NoKey: {
		"the service is divided by keys and the request has none",
		"the caller has to send the key",
	},
	dispatch.TargetsFull: {
		"the targets that could run the request were too busy to end it in time",
		"compare load, slots and expected_ms; for a service with keys only the owner counts, and a single key too busy for one target cannot be moved",
	},
	dispatch.TargetPaused: {
		"every target that could run the request had asked for no requests until a later time",
		"find the latest line 'target asked for a pause' of the service; the targets decide how long it lasts",
	},
	dispatch.TargetCold: {
		"the targets that could run the request were cold, and more requests than they tolerate were waiting for them",
		"look for 'target registered' and 'target is cold' of the service, and for an evacuation that ended; the configuration states the rate of cold targets",
	},
	dispatch.Stopping: {
		"the daemon was being stopped and could not have waited for the response",
		"the caller has to use another daemon; many of these mean that callers open connections to a daemon that is not ready",
	},
	dispatch.TooManyConnections: {
		"callers had more connections open to the daemon than it has descriptors for, and none of them was idle",
		"compare the callers of the daemons; after the loss of most of them the others are full until they are back",
	},
	dispatch.NoMemory: {
		"the bodies of other requests took all the memory that the daemon has for them",
		"compare the sizes of bodies with limits.memory-mb; callers that send slowly hold what has arrived of their bodies",
	},
	dispatch.DeadlineExceeded: {
		"the time that the caller or the route allows was over",
		"compare took_ms with the sends before: a slow target, or a caller with little time",
	},
	dispatch.TargetUnreachable: {
		"no connection to the target could be opened, so nothing was sent",
		"look for 'target gone' of the target shortly after; several targets at once mean a cut on the way",
	},
	dispatch.TargetReplaced: {
		"another target answered at the address",
		"the address was given to a new target before the registration of the old one ended",
	},
	dispatch.RetryBudgetExhausted: {
		"the second sends that all daemons may make were used up",
		"look at jackdawloom_repeat_budget_left and at the reasons of the first sends of that time",
	},
	dispatch.KeyNotHeld: {
		"the owner in the table of this daemon did not hold the key",
		"compare table_revision with 'range table written' at the coordinator; with the same revision look for 'grant without success' of the target",
	},
	dispatch.ConnectionLost: {
		"the connection ended after the request was written; whether it ran is unknown",
		"only the target's own log can tell whether the request ran",
	},
	dispatch.InvalidResponse: {
		"the target failed, or its answer was not usable",
		"read the status in 'send without success'; 500 and 504 are the target's own",
	},
	dispatch.CallerDisconnected: {
		"the caller closed its connection before the answer",
		"compare took_ms with the service's usual time: slow targets make callers leave",
	},
	dispatch.NoConfig: {
		"the daemon had read no configuration yet",
		"look for 'daemon started' and 'store reached' of this daemon",
	},
}
