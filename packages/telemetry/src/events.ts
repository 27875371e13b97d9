/**
 * The catalogue of events. Each has a number that never changes, a level and a description. The page
 * docs/operators/EVENTS.md is generated from this file.
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

function defineEvent(number: number, name: string, level: EventLevel, meaning: string): EventDefinition {
    const definition = { number, name, level, meaning };
    definitions.push(definition);
    return definition;
}

// 100: lifecycle of the instance
export const InstanceStarted = defineEvent(
    100,
    "InstanceStarted",
    EventLevel.Info,
    "The instance has started and listens on its endpoints.",
);
export const InstanceDraining = defineEvent(
    101,
    "InstanceDraining",
    EventLevel.Info,
    "The instance is stopping and accepts no new work.",
);
export const InstanceStopped = defineEvent(
    102,
    "InstanceStopped",
    EventLevel.Info,
    "The instance stops because its work has ended or its grace period is over.",
);
export const InternalDefect = defineEvent(
    103,
    "InternalDefect",
    EventLevel.Error,
    "A defect in the program occurred; the text describes it.",
);

// 200: release notes and rollout
export const NoteInForce = defineEvent(
    200,
    "NoteInForce",
    EventLevel.Info,
    "A release note of a higher generation is in force on this instance.",
);
export const NotePublished = defineEvent(
    201,
    "NotePublished",
    EventLevel.Info,
    "This instance published a release note.",
);
export const NoteRejected = defineEvent(
    202,
    "NoteRejected",
    EventLevel.Warn,
    "A release note could not be read, so the previous one stays in force, or could not be stored; the text says which.",
);
export const UpstreamOrdered = defineEvent(
    203,
    "UpstreamOrdered",
    EventLevel.Info,
    "An upstream was ordered to change.",
);
export const UpstreamReached = defineEvent(
    204,
    "UpstreamReached",
    EventLevel.Info,
    "An upstream reports its desired state.",
);
export const UpstreamBlocked = defineEvent(
    205,
    "UpstreamBlocked",
    EventLevel.Warn,
    "An upstream can't reach its desired state; the text gives the reason.",
);
export const NoteConfirmationLost = defineEvent(
    206,
    "NoteConfirmationLost",
    EventLevel.Warn,
    "Neither the platform nor the peers confirm the note in force any longer.",
);

// 300: online requests
export const RequestAdmitted = defineEvent(300, "RequestAdmitted", EventLevel.Debug, "A request was admitted.");
export const RequestPlaced = defineEvent(301, "RequestPlaced", EventLevel.Debug, "A request was sent to an upstream.");
export const RequestRefused = defineEvent(
    302,
    "RequestRefused",
    EventLevel.Info,
    "A request was refused; the code gives the reason.",
);
export const RequestRetried = defineEvent(
    303,
    "RequestRetried",
    EventLevel.Info,
    "A request is retried on another upstream.",
);
export const RequestFinished = defineEvent(304, "RequestFinished", EventLevel.Debug, "A request was answered in full.");
export const RequestAbandoned = defineEvent(
    305,
    "RequestAbandoned",
    EventLevel.Info,
    "The caller disconnected and its request was cancelled.",
);
export const RequestQuarantined = defineEvent(
    306,
    "RequestQuarantined",
    EventLevel.Warn,
    "A request was refused because it is suspected of crashing upstreams.",
);
export const UpstreamSuspected = defineEvent(
    307,
    "UpstreamSuspected",
    EventLevel.Warn,
    "An upstream is suspected to be slow or failing.",
);
export const UpstreamRestored = defineEvent(
    308,
    "UpstreamRestored",
    EventLevel.Info,
    "An upstream receives work again.",
);
export const StreamResumed = defineEvent(
    309,
    "StreamResumed",
    EventLevel.Info,
    "An interrupted stream continues on a new connection.",
);

// 400: non-idempotent calls
export const CallStarted = defineEvent(
    400,
    "CallStarted",
    EventLevel.Debug,
    "A non-idempotent call was recorded as started.",
);
export const CallFinished = defineEvent(
    401,
    "CallFinished",
    EventLevel.Debug,
    "The outcome of a non-idempotent call was recorded.",
);
export const CallOutcomeUnknown = defineEvent(
    402,
    "CallOutcomeUnknown",
    EventLevel.Error,
    "It can't be determined whether a non-idempotent call ran.",
);
export const LedgerFenced = defineEvent(
    403,
    "LedgerFenced",
    EventLevel.Warn,
    "Another holder of a ledger shard wrote to it first.",
);

// 500: batch jobs
export const JobAccepted = defineEvent(
    500,
    "JobAccepted",
    EventLevel.Info,
    "A job was accepted and stored with its input.",
);
export const JobFinished = defineEvent(501, "JobFinished", EventLevel.Info, "All items of a job have ended.");
export const JobCancelled = defineEvent(502, "JobCancelled", EventLevel.Info, "A job was cancelled by its caller.");
export const ChunkClaimed = defineEvent(
    503,
    "ChunkClaimed",
    EventLevel.Debug,
    "This instance claimed a chunk of a job.",
);
export const ChunkFinished = defineEvent(504, "ChunkFinished", EventLevel.Debug, "All items of a chunk have ended.");
export const ChunkLost = defineEvent(505, "ChunkLost", EventLevel.Warn, "Another instance has taken over a chunk.");
export const ItemFailed = defineEvent(506, "ItemFailed", EventLevel.Info, "An item failed after its last attempt.");
export const BatchShifted = defineEvent(
    507,
    "BatchShifted",
    EventLevel.Info,
    "Batch streams were cancelled to make room for an online burst.",
);

// 600: peers and the platform
export const PeerConnected = defineEvent(600, "PeerConnected", EventLevel.Info, "A peer link was opened.");
export const PeerLost = defineEvent(601, "PeerLost", EventLevel.Warn, "A peer link was closed or went silent.");
export const PeerRefused = defineEvent(
    602,
    "PeerRefused",
    EventLevel.Warn,
    "A peer failed the handshake and was refused; the text gives the reason.",
);
export const KeyValueDown = defineEvent(
    603,
    "KeyValueDown",
    EventLevel.Warn,
    "The key-value service does not respond.",
);
export const KeyValueRestored = defineEvent(
    604,
    "KeyValueRestored",
    EventLevel.Info,
    "The key-value service responds again.",
);
export const PeerMalformed = defineEvent(
    605,
    "PeerMalformed",
    EventLevel.Warn,
    "A peer sent a frame that can't be decoded and its link was closed.",
);

// 700: the gateway in front of the users' platform
export const GatewayAnswered = defineEvent(
    700,
    "GatewayAnswered",
    EventLevel.Info,
    "A forwarded request was answered in full or its caller disconnected; the text says which. The fields give the upstream's software version, the framing, bytes and events of the last answer, and the stream that the request continues.",
);
export const GatewayRefused = defineEvent(
    701,
    "GatewayRefused",
    EventLevel.Info,
    "A request ended without an upstream's response; the fields give the reason, what was sent and what ran.",
);
export const GatewayAttemptFailed = defineEvent(
    702,
    "GatewayAttemptFailed",
    EventLevel.Info,
    "An attempt at an upstream failed; the fields say whether the request is retried elsewhere, and what arrived of an answer.",
);
export const GatewayUnroutable = defineEvent(
    703,
    "GatewayUnroutable",
    EventLevel.Info,
    "No route of the configuration in force matches the request.",
);
export const GatewayUnauthorized = defineEvent(
    704,
    "GatewayUnauthorized",
    EventLevel.Info,
    "No customer of the configuration in force has the request's key; the fields say whether a key was sent, and the version.",
);
export const GatewayQuotaExceeded = defineEvent(
    705,
    "GatewayQuotaExceeded",
    EventLevel.Info,
    "A customer's request exceeded its limit; the fields say who counted it and when the caller may retry.",
);
export const SilentUpstreamKept = defineEvent(
    706,
    "SilentUpstreamKept",
    EventLevel.Info,
    "An upstream has sent nothing for a while, and the request stays there because it can't go on elsewhere; the fields give the reason.",
);
export const StoreLost = defineEvent(710, "StoreLost", EventLevel.Warn, "A watch on the metadata store failed.");
export const StoreRegained = defineEvent(
    711,
    "StoreRegained",
    EventLevel.Info,
    "A watch on the metadata store works again.",
);
export const StoreReturned = defineEvent(
    733,
    "StoreReturned",
    EventLevel.Info,
    "The metadata store responded to a call after a failed one; the watches are restarted.",
);
export const WatchDutyChanged = defineEvent(
    734,
    "WatchDutyChanged",
    EventLevel.Info,
    "This instance started or stopped watching the store; the fields give the reason and for how long no watching member was heard from.",
);
export const RegistryAsked = defineEvent(
    735,
    "RegistryAsked",
    EventLevel.Info,
    "Registry entries missing on this instance were requested from a peer; the fields give the revision and the outcome.",
);
export const ConfigurationTaken = defineEvent(
    712,
    "ConfigurationTaken",
    EventLevel.Info,
    "A newer version of the operators' configuration is in force on this instance.",
);
export const UpstreamChanged = defineEvent(
    713,
    "UpstreamChanged",
    EventLevel.Info,
    "The state of an upstream as known to this instance changed.",
);
export const UpstreamDied = defineEvent(
    717,
    "UpstreamDied",
    EventLevel.Warn,
    "An upstream closed its connections and refuses new ones; the parts are those of prompts whose answers were at their beginning there.",
);
export const RegistryEntryUnusable = defineEvent(
    714,
    "RegistryEntryUnusable",
    EventLevel.Warn,
    "An entry of the store can't be read; it is not used as an upstream.",
);
export const MemberRegistered = defineEvent(
    715,
    "MemberRegistered",
    EventLevel.Info,
    "This instance's member entry was written under a new lease.",
);
export const HomeSilent = defineEvent(
    718,
    "HomeSilent",
    EventLevel.Warn,
    "A coordinator granted no slot in time; it is not asked again for a second.",
);
export const UpstreamAvoided = defineEvent(
    719,
    "UpstreamAvoided",
    EventLevel.Warn,
    "An upstream failed some of its recent requests and receives none for a while.",
);
export const EngineExcluded = defineEvent(
    736,
    "EngineExcluded",
    EventLevel.Warn,
    "An engine has become slower than it usually is; it receives requests only if other engines are full.",
);
export const EngineReturned = defineEvent(
    737,
    "EngineReturned",
    EventLevel.Info,
    "An engine that was excluded for being slow is used again, with a growing share of its slots.",
);
export const MembersChanged = defineEvent(716, "MembersChanged", EventLevel.Info, "Members joined or left.");
export const SubmissionAccepted = defineEvent(
    720,
    "SubmissionAccepted",
    EventLevel.Info,
    "A submission is durable and runs on this instance.",
);
export const SubmissionRefused = defineEvent(
    721,
    "SubmissionRefused",
    EventLevel.Warn,
    "A submission was not accepted.",
);
export const SubmissionTakenOver = defineEvent(
    722,
    "SubmissionTakenOver",
    EventLevel.Info,
    "This instance took over a submission from another one.",
);
export const SubmissionLost = defineEvent(
    723,
    "SubmissionLost",
    EventLevel.Info,
    "This instance no longer runs a submission; a field gives the reason.",
);
export const SubmissionEnded = defineEvent(724, "SubmissionEnded", EventLevel.Info, "A caller ended a submission.");
export const ResultsListed = defineEvent(
    725,
    "ResultsListed",
    EventLevel.Info,
    "Results of a submission are durable and can be read.",
);
export const ItemRetried = defineEvent(
    726,
    "ItemRetried",
    EventLevel.Info,
    "An attempt at an item ended without a result; the item is retried.",
);
export const ItemGivenUp = defineEvent(
    727,
    "ItemGivenUp",
    EventLevel.Info,
    "An item is listed as given up; a field gives the reason.",
);
export const ItemYielded = defineEvent(
    728,
    "ItemYielded",
    EventLevel.Info,
    "An item released its slot for online work; a field gives the time that it had to spare.",
);
export const PartQuarantined = defineEvent(
    739,
    "PartQuarantined",
    EventLevel.Warn,
    "Requests with a part of the prompt crash upstreams and are refused; the fields give the part, the upstream whose crash proved it, the crashes, the independent moments and the requests among them, and the share of the other upstreams that had the part in progress.",
);
export const GatewayRequestQuarantined = defineEvent(
    740,
    "GatewayRequestQuarantined",
    EventLevel.Warn,
    "A request that was in progress at several crashes is refused; the fields give its fingerprint and the crashes by upstream.",
);
export const QuarantineTrialStarted = defineEvent(
    741,
    "QuarantineTrialStarted",
    EventLevel.Info,
    "A quarantined request or item was sent to find out whether it crashes upstreams.",
);
export const QuarantineTrialEnded = defineEvent(
    742,
    "QuarantineTrialEnded",
    EventLevel.Info,
    "The trial of a quarantine has ended; after Broken the next one follows later, after Answered the quarantine ends.",
);
export const QuarantineEnded = defineEvent(
    743,
    "QuarantineEnded",
    EventLevel.Warn,
    "A quarantine has ended early; the fields give the reason.",
);
export const ItemHeld = defineEvent(
    744,
    "ItemHeld",
    EventLevel.Info,
    "An item waits because it, or a part of its prompt, is quarantined.",
);
export const StreamVersionResolved = defineEvent(
    745,
    "StreamVersionResolved",
    EventLevel.Info,
    "A caller continues a stream; the fields give the software version at which it goes on, what that is known from, and the versions that may have begun it.",
);
export const ItemCompleted = defineEvent(
    738,
    "ItemCompleted",
    EventLevel.Debug,
    "An item's answer is complete; the fields give its framing and the number of its events.",
);
export const ItemStarted = defineEvent(
    729,
    "ItemStarted",
    EventLevel.Debug,
    "An attempt at an item started; the fields give the known load of its upstream, and the events that were dropped because they came from another software version.",
);
export const SettingsReloaded = defineEvent(
    730,
    "SettingsReloaded",
    EventLevel.Info,
    "The settings file was read again.",
);
export const MachineEmptied = defineEvent(
    731,
    "MachineEmptied",
    EventLevel.Info,
    "The operators were notified that this machine holds no data.",
);
export const LinesSuppressed = defineEvent(
    732,
    "LinesSuppressed",
    EventLevel.Warn,
    "Log lines of an event beyond the limit per second were counted instead of written.",
);

/** Returns all events, ordered by number. */
export function getEventDefinitions(): readonly EventDefinition[] {
    return [...definitions].sort((left, right) => left.number - right.number);
}
