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
export const PeerMalformed = define(
    605,
    "PeerMalformed",
    EventLevel.Warn,
    "A peer sent a frame that can't be read; its link was ended.",
);

// 700: the gateway before the users' platform
export const GatewayAnswered = define(
    700,
    "GatewayAnswered",
    EventLevel.Info,
    "A forwarded request was answered in full, or its caller left; the text says which.",
);
export const GatewayRefused = define(
    701,
    "GatewayRefused",
    EventLevel.Info,
    "A request ended without an upstream's answer; reason, what was sent and what ran.",
);
export const GatewayAttemptFailed = define(
    702,
    "GatewayAttemptFailed",
    EventLevel.Info,
    "One attempt at an upstream failed; whether the request goes elsewhere.",
);
export const GatewayUnroutable = define(
    703,
    "GatewayUnroutable",
    EventLevel.Info,
    "No route of the configuration in force matches the request.",
);
export const GatewayUnauthorized = define(
    704,
    "GatewayUnauthorized",
    EventLevel.Info,
    "No customer of the configuration in force has the request's key; whether a key was sent, and the version.",
);
export const GatewayQuotaExceeded = define(
    705,
    "GatewayQuotaExceeded",
    EventLevel.Info,
    "A customer's request was over its limit; who counted it, and when the caller may come back.",
);
export const StoreLost = define(710, "StoreLost", EventLevel.Warn, "A watch of the metadata store failed.");
export const StoreRegained = define(711, "StoreRegained", EventLevel.Info, "The watch works again.");
export const StoreReturned = define(
    733,
    "StoreReturned",
    EventLevel.Info,
    "The metadata store answered a call after one that failed; the watches begin anew.",
);
export const WatchDutyChanged = define(
    734,
    "WatchDutyChanged",
    EventLevel.Info,
    "This instance began or ended watching the store; why, and since when no watching member was heard of.",
);
export const RegistryAsked = define(
    735,
    "RegistryAsked",
    EventLevel.Info,
    "A peer was asked for registry entries that this instance lacks: after which revision, and what came of it.",
);
export const ConfigurationTaken = define(
    712,
    "ConfigurationTaken",
    EventLevel.Info,
    "A newer version of the operators' configuration is in force here.",
);
export const UpstreamChanged = define(
    713,
    "UpstreamChanged",
    EventLevel.Info,
    "What this instance believes of an upstream changed.",
);
export const UpstreamDied = define(717, "UpstreamDied", EventLevel.Warn, "An upstream broke off and can't be reached.");
export const RegistryEntryUnusable = define(
    714,
    "RegistryEntryUnusable",
    EventLevel.Warn,
    "An entry of the store can't be read; it names no upstream.",
);
export const MemberRegistered = define(
    715,
    "MemberRegistered",
    EventLevel.Info,
    "This instance's entry stands under a new lease.",
);
export const HomeSilent = define(
    718,
    "HomeSilent",
    EventLevel.Warn,
    "A home lent no place in time; it is not asked for a second.",
);
export const UpstreamAvoided = define(
    719,
    "UpstreamAvoided",
    EventLevel.Warn,
    "An upstream failed some of its last requests; it gets none for a time.",
);
export const MembersChanged = define(716, "MembersChanged", EventLevel.Info, "Members came or went.");
export const SubmissionAccepted = define(
    720,
    "SubmissionAccepted",
    EventLevel.Info,
    "A submission is durable and runs here.",
);
export const SubmissionRefused = define(721, "SubmissionRefused", EventLevel.Warn, "A submission was not accepted.");
export const SubmissionTakenOver = define(
    722,
    "SubmissionTakenOver",
    EventLevel.Info,
    "This instance runs a submission that another one ran.",
);
export const SubmissionLost = define(
    723,
    "SubmissionLost",
    EventLevel.Info,
    "This instance no longer runs a submission; the reason.",
);
export const SubmissionEnded = define(724, "SubmissionEnded", EventLevel.Info, "A caller ended a submission.");
export const ResultsListed = define(
    725,
    "ResultsListed",
    EventLevel.Info,
    "Results of a submission are durable and shown.",
);
export const ItemRetried = define(
    726,
    "ItemRetried",
    EventLevel.Info,
    "An item's run ended without a result; it goes on.",
);
export const ItemGivenUp = define(727, "ItemGivenUp", EventLevel.Info, "An item is listed as given up; the reason.");
export const ItemYielded = define(728, "ItemYielded", EventLevel.Info, "An item gave its place to online work.");
export const ItemStarted = define(
    729,
    "ItemStarted",
    EventLevel.Debug,
    "An item's run began; what was believed there.",
);
export const SettingsReloaded = define(730, "SettingsReloaded", EventLevel.Info, "The settings were read again.");
export const MachineEmptied = define(
    731,
    "MachineEmptied",
    EventLevel.Info,
    "The operators were told that this machine holds nothing.",
);
export const LinesSuppressed = define(
    732,
    "LinesSuppressed",
    EventLevel.Warn,
    "Lines of one event over the bound of a second were counted instead of written.",
);

/** Every event, in the order of its number. */
export function getEventDefinitions(): readonly EventDefinition[] {
    return [...definitions].sort((left, right) => left.number - right.number);
}
