/**
 * The catalogue of events: each has a number that never changes, a severity, and a sentence for the docs page. The
 * page docs/operators/EVENTS.md is generated from this file.
 */

export enum EventLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
}

export interface EventDefinition {
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    readonly meaning: string;
}

const definitions: EventDefinition[] = [];

function define(number: number, name: string, level: EventLevel, meaning: string): EventDefinition {
    const definition = { number, name, level, meaning };
    definitions.push(definition);
    return definition;
}

// 100: the instance itself
export const InstanceStarted = define(100, "InstanceStarted", EventLevel.Info, "The instance listens on its faces.");
export const InstanceDraining = define(101, "InstanceDraining", EventLevel.Info, "The instance takes no new work.");
export const InstanceStopped = define(102, "InstanceStopped", EventLevel.Info, "Nothing was in progress; the end.");
export const InternalDefect = define(103, "InternalDefect", EventLevel.Error, "A defect was met; see the text.");

// 200: release notes and rollout
export const NoteInForce = define(200, "NoteInForce", EventLevel.Info, "A release note of a higher generation rules.");
export const NotePublished = define(201, "NotePublished", EventLevel.Info, "This instance published a release note.");
export const NoteRejected = define(
    202,
    "NoteRejected",
    EventLevel.Warn,
    "A stored note could not be read; kept the old.",
);
export const UpstreamOrdered = define(203, "UpstreamOrdered", EventLevel.Info, "An upstream was ordered to change.");
export const UpstreamReached = define(
    204,
    "UpstreamReached",
    EventLevel.Info,
    "An upstream reports its desired state.",
);
export const UpstreamBlocked = define(
    205,
    "UpstreamBlocked",
    EventLevel.Warn,
    "An upstream does not get there; see why.",
);
export const NoteConfirmationLost = define(
    206,
    "NoteConfirmationLost",
    EventLevel.Warn,
    "Neither platform nor peers confirm the note.",
);

// 300: online requests
export const RequestAdmitted = define(300, "RequestAdmitted", EventLevel.Debug, "A request was admitted.");
export const RequestPlaced = define(301, "RequestPlaced", EventLevel.Debug, "A request was sent to an upstream.");
export const RequestRefused = define(302, "RequestRefused", EventLevel.Info, "A request was refused; see the code.");
export const RequestRetried = define(303, "RequestRetried", EventLevel.Info, "A request goes to another upstream.");
export const RequestFinished = define(304, "RequestFinished", EventLevel.Debug, "A request was answered in full.");
export const RequestAbandoned = define(305, "RequestAbandoned", EventLevel.Info, "The caller went away; cancelled.");
export const RequestQuarantined = define(306, "RequestQuarantined", EventLevel.Warn, "A request that ends upstreams.");
export const UpstreamSuspected = define(307, "UpstreamSuspected", EventLevel.Warn, "An upstream is slow or failing.");
export const UpstreamRestored = define(308, "UpstreamRestored", EventLevel.Info, "An upstream takes work again.");
export const StreamResumed = define(309, "StreamResumed", EventLevel.Info, "A stream goes on on a new connection.");

// 400: non-idempotent calls
export const CallStarted = define(
    400,
    "CallStarted",
    EventLevel.Debug,
    "A non-idempotent call is recorded as started.",
);
export const CallFinished = define(401, "CallFinished", EventLevel.Debug, "Its outcome is recorded.");
export const CallOutcomeUnknown = define(
    402,
    "CallOutcomeUnknown",
    EventLevel.Error,
    "It can't be known whether it ran.",
);
export const LedgerFenced = define(403, "LedgerFenced", EventLevel.Warn, "Another holder wrote this shard first.");

// 500: batch jobs
export const JobAccepted = define(500, "JobAccepted", EventLevel.Info, "A job and its input are kept.");
export const JobFinished = define(501, "JobFinished", EventLevel.Info, "Every item of the job has ended.");
export const JobCancelled = define(502, "JobCancelled", EventLevel.Info, "The job's caller cancelled it.");
export const ChunkClaimed = define(503, "ChunkClaimed", EventLevel.Debug, "This instance claimed a chunk of a job.");
export const ChunkFinished = define(504, "ChunkFinished", EventLevel.Debug, "Every item of the chunk has ended.");
export const ChunkLost = define(505, "ChunkLost", EventLevel.Warn, "Another instance holds the chunk now.");
export const ItemFailed = define(506, "ItemFailed", EventLevel.Info, "An item used up its attempts.");
export const BatchShifted = define(507, "BatchShifted", EventLevel.Info, "Batch streams gave way to an online burst.");

// 600: peers and the platform
export const PeerConnected = define(600, "PeerConnected", EventLevel.Info, "A peer link is open.");
export const PeerLost = define(601, "PeerLost", EventLevel.Warn, "A peer link closed or went silent.");
export const PeerRefused = define(
    602,
    "PeerRefused",
    EventLevel.Warn,
    "A peer could not prove that it is one of ours.",
);
export const KeyValueDown = define(603, "KeyValueDown", EventLevel.Warn, "The key-value service does not answer.");
export const KeyValueRestored = define(
    604,
    "KeyValueRestored",
    EventLevel.Info,
    "The key-value service answers again.",
);

/** Every event, in the order of its number. */
export function getEventDefinitions(): readonly EventDefinition[] {
    return [...definitions].sort((left, right) => left.number - right.number);
}
