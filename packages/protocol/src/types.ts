import type * as core from "@boragedale/core";

/** Version of the protocol between instances. During a rolling upgrade, peers of two adjacent versions communicate. */
export const ProtocolVersion = 1;

/**
 * Lanes of a peer link. Each lane has its own connection, because within one connection a bulk message would delay
 * the small messages queued behind it.
 */
export enum Lane {
    Control = "Control",
    Online = "Online",
    Bulk = "Bulk",
}

export enum MessageKind {
    Challenge = "Challenge",
    Hello = "Hello",
    Heartbeat = "Heartbeat",
    Leaving = "Leaving",
    NoteRequest = "NoteRequest",
    NoteReply = "NoteReply",
    LedgerBegin = "LedgerBegin",
    LedgerBegun = "LedgerBegun",
    LedgerFinish = "LedgerFinish",
    LedgerFinished = "LedgerFinished",
    LedgerRead = "LedgerRead",
    LedgerRecord = "LedgerRecord",
    JobCancelled = "JobCancelled",
    OnlinePressure = "OnlinePressure",
    OnlineTotal = "OnlineTotal",
    SuspectReport = "SuspectReport",
    RegistryRequest = "RegistryRequest",
    RegistryEntries = "RegistryEntries",
    SlotUses = "SlotUses",
    YieldSlot = "YieldSlot",
    BatchStart = "BatchStart",
    BatchStartReply = "BatchStartReply",
    SlotRequest = "SlotRequest",
    SlotReply = "SlotReply",
    BatchSlotRequest = "BatchSlotRequest",
    BatchSlotReply = "BatchSlotReply",
    SubmissionOwned = "SubmissionOwned",
    SubmissionRead = "SubmissionRead",
    SubmissionPage = "SubmissionPage",
    SubmissionItemRead = "SubmissionItemRead",
    SubmissionItemBody = "SubmissionItemBody",
    SubmissionEnd = "SubmissionEnd",
    SubmissionEnded = "SubmissionEnded",
    SubmissionHandover = "SubmissionHandover",
    SubmissionForward = "SubmissionForward",
    SubmissionKept = "SubmissionKept",
    SubmissionNotKept = "SubmissionNotKept",
    Refused = "Refused",
    QuotaClaim = "QuotaClaim",
    QuotaReply = "QuotaReply",
    QuotaReturn = "QuotaReturn",
    StreamOrigins = "StreamOrigins",
    StreamOriginRequest = "StreamOriginRequest",
    StreamOriginReply = "StreamOriginReply",
    PromptPartCrash = "PromptPartCrash",
    PromptPartsAnswered = "PromptPartsAnswered",
    PromptPartQuarantined = "PromptPartQuarantined",
    QuarantineTrialRequest = "QuarantineTrialRequest",
    QuarantineTrialReply = "QuarantineTrialReply",
    QuarantineTrialFailed = "QuarantineTrialFailed",
    QuarantineEnded = "QuarantineEnded",
}

/** First frame sent by the accepting side. The other side's proof must cover the challenge, which prevents replays. */
export interface Challenge {
    readonly kind: MessageKind.Challenge;
    readonly challenge: string;
}

export interface Hello {
    readonly kind: MessageKind.Hello;
    readonly version: number;
    readonly instance: core.InstanceId;
    readonly lane: Lane;
    /** Challenge that the receiver's proof must cover. */
    readonly challenge: string;
    /** HMAC over both sides' challenges that proves knowledge of the shared key, in hexadecimal. */
    readonly proof: string;
    /** Whether the sender can decode frames in the packed form; absent means that it can't. */
    readonly readsPacked?: boolean;
    /** URL of the sender's peer endpoint, such as `ws://10.0.0.1:7001`; absent if the sender doesn't know it. */
    readonly url?: string;
}

/** Sent in both directions on the control lane. A link that receives nothing for three intervals is closed and replaced. */
export interface Heartbeat {
    readonly kind: MessageKind.Heartbeat;
    readonly generation: core.Generation;
    /** 32-bit checksum of the sender's registry entries, if it keeps any. Different checksums mean different entries. */
    readonly digest?: number;
    /** Logical time of the sender's time line. */
    readonly logicalTime: number;
    /** Whether the sender accepts new assignments. */
    readonly state: core.LifecycleState;
    /** Whether the sender's registry entries come from its own working watches on the store. */
    readonly isWatching?: boolean;
    /**
     * Revision of the sender's configuration, the highest revision among its upstream entries, and a 32-bit checksum of these
     * entries. The revision over all entries can't be compared instead: in a large fleet, members join and leave so often that
     * it rarely matches on both sides.
     */
    readonly configurationRevision?: number;
    readonly upstreamsRevision?: number;
    readonly upstreamsDigest?: number;
}

export interface Leaving {
    readonly kind: MessageKind.Leaving;
    readonly instance: core.InstanceId;
}

export interface NoteRequest {
    readonly kind: MessageKind.NoteRequest;
    readonly newerThan: core.Generation;
}

export interface NoteReply {
    readonly kind: MessageKind.NoteReply;
    readonly note?: core.NoteInForce;
}

/** The payloads of ledger messages are opaque to the protocol; the work package encodes them. */
export interface LedgerBegin {
    readonly kind: MessageKind.LedgerBegin;
    readonly shard: number;
    readonly payload: Uint8Array;
}
export interface LedgerBegun {
    readonly kind: MessageKind.LedgerBegun;
    readonly payload: Uint8Array;
}
export interface LedgerFinish {
    readonly kind: MessageKind.LedgerFinish;
    readonly shard: number;
    readonly payload: Uint8Array;
}
export interface LedgerFinished {
    readonly kind: MessageKind.LedgerFinished;
    readonly payload: Uint8Array;
}
export interface LedgerRead {
    readonly kind: MessageKind.LedgerRead;
    readonly shard: number;
    readonly payload: Uint8Array;
}
export interface LedgerRecord {
    readonly kind: MessageKind.LedgerRecord;
    readonly payload: Uint8Array;
}

export interface JobCancelled {
    readonly kind: MessageKind.JobCancelled;
    readonly job: string;
}

/** Reports the sender's online load on an upstream to its coordinator, which frees slots for it. */
export interface OnlinePressure {
    readonly kind: MessageKind.OnlinePressure;
    readonly upstream: core.UpstreamId;
    readonly inFlight: number;
    readonly queued: number;
    /** Shortest interval between two tokens that the sender observed on the upstream in the last second, in milliseconds. */
    readonly fastestGap?: number;
}

/** The coordinator's reply to `OnlinePressure`: the state of the upstream. */
export interface OnlineTotal {
    readonly kind: MessageKind.OnlineTotal;
    readonly upstream: core.UpstreamId;
    /** Online requests in flight on the upstream, summed over all instances. */
    readonly inFlight: number;
    /** Whether the upstream itself reports that it accepts no new work. */
    readonly isLeaving: boolean;
    /** Shortest interval between two tokens that any instance observed in the last second, in milliseconds. */
    readonly fastestGap?: number;
}

/** Reports a request that was in flight when an upstream crashed. */
export interface SuspectReport {
    readonly kind: MessageKind.SuspectReport;
    readonly fingerprint: string;
    readonly deaths: number;
    /** Crashes per upstream. Merging takes the higher count of each upstream, so a repeated report changes nothing. */
    readonly deathsByUpstream?: Readonly<Record<core.UpstreamId, number>>;
}

/** Requests the registry entries after a revision from a peer that has seen later changes. */
export interface RegistryRequest {
    readonly kind: MessageKind.RegistryRequest;
    readonly revision: number;
}

export interface RegistryEntry {
    readonly key: string;
    readonly revision: number;
    /** Absent if the key was removed at this revision. */
    readonly value?: Uint8Array;
    /** Whether the value is compressed (raw deflate). */
    readonly isDeflated?: boolean;
}

/** Entries of the metadata store that the sender has seen. For each key, the entry with the highest revision wins. */
export interface RegistryEntries {
    readonly kind: MessageKind.RegistryEntries;
    /** Whether the entries are a full listing of the store rather than changes only. */
    readonly isWhole: boolean;
    readonly entries: readonly RegistryEntry[];
    /** Keys missing from the entries don't exist as of this revision. */
    readonly settled?: number;
}

/** Numbers of requests that the sender has on upstreams. Each element replaces the previous numbers for its upstream. */
export interface SlotUses {
    readonly kind: MessageKind.SlotUses;
    /** Whether the sender has no requests on the upstreams that aren't listed. */
    readonly isWhole: boolean;
    readonly uses: readonly (readonly [upstream: core.UpstreamId, online: number, batch: number])[];
    /** Speeds that the sender measured since its previous notice. Absent if it measured none. */
    readonly speeds?: readonly EngineSpeedRow[];
    /**
     * For upstreams on which the sender has batch items: the longest time that one of these items has to spare before it
     * is due, in milliseconds; negative if all are late.
     */
    readonly slacks?: readonly (readonly [upstream: core.UpstreamId, milliseconds: number])[];
}

/** Measured times of an engine, in milliseconds, and the number of requests from which they were measured. */
export type EngineSpeedRow = readonly [
    upstream: core.UpstreamId,
    eventMilliseconds: number,
    firstEventMilliseconds: number,
    samples: number,
];

/** Asks the receiver to release a slot that its batch work holds on the upstream, because an online request needs it. */
export interface YieldSlot {
    readonly kind: MessageKind.YieldSlot;
    readonly upstream: core.UpstreamId;
}

/** Asks the coordinator of an upstream whether a batch item may start there. */
export interface BatchStart {
    readonly kind: MessageKind.BatchStart;
    readonly upstream: core.UpstreamId;
    /** Total slots of the upstream, and how many of them are reserved for online work. */
    readonly slots: number;
    readonly reserve: number;
}

export interface BatchStartReply {
    readonly kind: MessageKind.BatchStartReply;
    readonly isGranted: boolean;
}

/** Asks a coordinator for a slot on one of its engines for an online request. */
export interface SlotRequest {
    readonly kind: MessageKind.SlotRequest;
    readonly service: string;
    /** Engines that the sender excludes. Usually absent: one of these messages is sent per request, so size matters. */
    readonly except?: readonly core.UpstreamId[];
    /** The customer that the request counts against. Requests without a customer share as one per route. */
    readonly customer?: string;
    /** Relative share of the customer. Absent: 1. */
    readonly weight?: number;
    /** 0 is the most urgent, and the value if absent. */
    readonly priority?: number;
    /** Time until the deadline of the request. */
    readonly remainingMilliseconds?: number;
    /** Longest time for which the request may wait for a slot. Absent or 0: the reply is sent at once. */
    readonly waitMilliseconds?: number;
    /** Whether a slot may be granted that batch work has to yield first. Absent: yes. */
    readonly allowsYield?: boolean;
}

export interface SlotReply {
    readonly kind: MessageKind.SlotReply;
    /**
     * Absent if the receiver coordinates none of the service's engines, or if it has no free slot and the request doesn't
     * allow a yield; `free` then counts the slots that batch work could yield.
     */
    readonly upstream?: core.UpstreamId;
    /** Requests that wait for a slot there. 0 means that the slot is granted to the requester and counted as in use. */
    readonly waiting: number;
    /** Slots that the receiver could still grant to online requests. */
    readonly free: number;
    /** Set if the receiver orders waiting requests and granted no slot: the wait to be expected for this request. */
    readonly expectedWaitMilliseconds?: number;
    /** Estimated speeds of the receiver's engines. Absent if the requester has received them a moment ago. */
    readonly speeds?: readonly EngineSpeedRow[];
}

/** Asks a coordinator for a slot for a batch item. The reply comes when a slot is free or a bounded wait has passed. */
export interface BatchSlotRequest {
    readonly kind: MessageKind.BatchSlotRequest;
    readonly service: string;
    /** Time until the sender's most urgent waiting item is due; negative if it is late. */
    readonly dueInMilliseconds?: number;
    /** Estimated time for which that item still needs a slot. */
    readonly remainingMilliseconds?: number;
}

export interface BatchSlotReply {
    readonly kind: MessageKind.BatchSlotReply;
    /** Absent if no slot became free. */
    readonly upstream?: core.UpstreamId;
}

/** States that the sender runs the submission and that the submission is durable. */
export interface SubmissionOwned {
    readonly kind: MessageKind.SubmissionOwned;
    readonly submission: string;
}

/** Asks the owner of a submission for its results, starting at a position. */
export interface SubmissionRead {
    readonly kind: MessageKind.SubmissionRead;
    readonly submission: string;
    readonly position: number;
    readonly waitMilliseconds: number;
}

export interface SubmissionPage {
    readonly kind: MessageKind.SubmissionPage;
    readonly total: number;
    readonly next: number;
    readonly results: readonly { readonly id: string; readonly state: string; readonly text: string }[];
}

/** Asks the owner of a submission for the body of an item that is not listed. */
export interface SubmissionItemRead {
    readonly kind: MessageKind.SubmissionItemRead;
    readonly submission: string;
    readonly item: string;
}

export interface SubmissionItemBody {
    readonly kind: MessageKind.SubmissionItemBody;
    /** Absent if the submission has no such item or has ended. */
    readonly body?: Uint8Array;
}

/** Asks the owner to end a submission. The reply is sent once the end is durable. */
export interface SubmissionEnd {
    readonly kind: MessageKind.SubmissionEnd;
    readonly submission: string;
}

export interface SubmissionEnded {
    readonly kind: MessageKind.SubmissionEnded;
}

/** Sent by an instance that is leaving. The receiver takes over the submission at once and resumes its items. */
export interface SubmissionHandover {
    readonly kind: MessageKind.SubmissionHandover;
    readonly submission: string;
    /** For each started item: its index, the id of its last event, and the data of its events so far. */
    readonly progress: readonly (readonly [item: number, lastEventId: number, texts: readonly string[]])[];
    /**
     * For each element of `progress`: the service whose upstreams sent the events, and their software version; empty if
     * unknown. Absent if the sender doesn't know them.
     */
    readonly origins?: readonly (readonly string[])[];
}

/** Sent by an instance that can't reach the store. Asks the receiver to store the submission and run it. */
export interface SubmissionForward {
    readonly kind: MessageKind.SubmissionForward;
    readonly submission: string;
    readonly host: string;
    readonly target: string;
    /** Items as packed by the gateway. */
    readonly items: Uint8Array;
    readonly waitMilliseconds: number;
    /** Absent if the route requires no key or no customers are configured. */
    readonly customer?: string;
}

/** Reply to `SubmissionForward`: the submission is durable. */
export interface SubmissionKept {
    readonly kind: MessageKind.SubmissionKept;
}

/** Reply to `SubmissionForward`: the submission could not be stored in time. */
export interface SubmissionNotKept {
    readonly kind: MessageKind.SubmissionNotKept;
    /** Whether the submission certainly won't be stored later: a write without a response may still be carried out. */
    readonly isCertain: boolean;
}

/** Asks the owner of a customer's quota whether a request of the customer may run. */
export interface QuotaClaim {
    readonly kind: MessageKind.QuotaClaim;
    readonly customer: string;
    /** The customer's limit as configured at the sender. */
    readonly requestsPerSecond: number;
    readonly burst: number;
    /** Requests of the customer that the sender ran in the last window without the receiver counting them. */
    readonly uncounted: number;
}

export interface QuotaReply {
    readonly kind: MessageKind.QuotaReply;
    readonly isGranted: boolean;
    /** If the claim was not granted, the time after which the caller may retry. */
    readonly retryAfterMilliseconds: number;
}

/** Returns requests that the receiver granted but that no upstream ran. */
export interface QuotaReturn {
    readonly kind: MessageKind.QuotaReturn;
    readonly customer: string;
    readonly count: number;
}

/**
 * Reports the software versions at which streams began, by the id of the attempt that brought the first event. The receiver
 * keeps them, so that the streams can be continued if the sender is lost.
 */
export interface StreamOrigins {
    readonly kind: MessageKind.StreamOrigins;
    readonly origins: readonly (readonly [stream: string, service: string, softwareVersion: string])[];
}

/** Asks for the software version at which a stream of a service began. */
export interface StreamOriginRequest {
    readonly kind: MessageKind.StreamOriginRequest;
    readonly service: string;
    /** Absent if the caller that continues the stream doesn't name it. */
    readonly stream?: string;
}

export interface StreamOriginReply {
    readonly kind: MessageKind.StreamOriginReply;
    /** Software versions that the receiver of the request has recently seen in the service. */
    readonly recentVersions: readonly string[];
    /** The version at which the stream began. Absent if it is not known there. */
    readonly softwareVersion?: string;
}

/** Reports that an upstream crashed, and the prompt parts of the sender's requests whose answers were at their beginning there. */
export interface PromptPartCrash {
    readonly kind: MessageKind.PromptPartCrash;
    /** Identifies the run of the upstream; several senders may report the same crash. */
    readonly upstream: string;
    readonly parts: readonly (readonly [part: string, position: number, fingerprint: string])[];
    /**
     * For each of the parts, the time since its request was sent, and the share of the sender's other upstreams with requests in
     * progress that had the part in progress too. Members of older versions don't send it.
     */
    readonly details?: readonly (readonly [ageMilliseconds: number, share: number])[];
}

/** Reports parts that were in progress at a crash and have been answered since. */
export interface PromptPartsAnswered {
    readonly kind: MessageKind.PromptPartsAnswered;
    readonly parts: readonly string[];
}

/** States that requests with this prompt part crash upstreams and must not be sent. */
export interface PromptPartQuarantined {
    readonly kind: MessageKind.PromptPartQuarantined;
    readonly part: string;
    readonly remainingMilliseconds: number;
}

/** What a quarantine stops: each request with a prompt part, or a single request by its fingerprint. */
export enum QuarantineKind {
    Part = "part",
    Request = "request",
}

/** Asks the member that decides on the trials of a quarantine whether a request may be sent as one. */
export interface QuarantineTrialRequest {
    readonly kind: MessageKind.QuarantineTrialRequest;
    readonly quarantine: QuarantineKind;
    readonly name: string;
    /** Whether the request was accepted to be run later. Previous versions don't send it. */
    readonly isOwed?: boolean | undefined;
}

export interface QuarantineTrialReply {
    readonly kind: MessageKind.QuarantineTrialReply;
    readonly isGranted: boolean;
    /** Trials that have failed so far. */
    readonly failures: number;
    /** Time until the next trial may be granted. */
    readonly waitMilliseconds: number;
}

/** Reports that a trial has failed: the upstream crashed or broke off before the answer was past its beginning. */
export interface QuarantineTrialFailed {
    readonly kind: MessageKind.QuarantineTrialFailed;
    readonly quarantine: QuarantineKind;
    readonly name: string;
    /** Trials that have failed so far, including this one. */
    readonly failures: number;
}

/** Reports that a quarantine has turned out to be false. */
export interface QuarantineEnded {
    readonly kind: MessageKind.QuarantineEnded;
    readonly quarantine: QuarantineKind;
    readonly name: string;
}

/** Reply of a peer that could not serve a request; `text` gives the reason. */
export interface Refused {
    readonly kind: MessageKind.Refused;
    readonly text: string;
}

export type Message =
    | Challenge
    | Hello
    | Heartbeat
    | Leaving
    | NoteRequest
    | NoteReply
    | LedgerBegin
    | LedgerBegun
    | LedgerFinish
    | LedgerFinished
    | LedgerRead
    | LedgerRecord
    | JobCancelled
    | OnlinePressure
    | OnlineTotal
    | SuspectReport
    | RegistryRequest
    | RegistryEntries
    | SlotUses
    | YieldSlot
    | BatchStart
    | BatchStartReply
    | SlotRequest
    | SlotReply
    | BatchSlotRequest
    | BatchSlotReply
    | SubmissionOwned
    | SubmissionRead
    | SubmissionPage
    | SubmissionItemRead
    | SubmissionItemBody
    | SubmissionEnd
    | SubmissionEnded
    | SubmissionHandover
    | SubmissionForward
    | SubmissionKept
    | SubmissionNotKept
    | QuotaClaim
    | QuotaReply
    | QuotaReturn
    | StreamOrigins
    | StreamOriginRequest
    | StreamOriginReply
    | PromptPartCrash
    | PromptPartsAnswered
    | PromptPartQuarantined
    | QuarantineTrialRequest
    | QuarantineTrialReply
    | QuarantineTrialFailed
    | QuarantineEnded
    | Refused;

export type MessageOf<K extends MessageKind> = Extract<Message, { readonly kind: K }>;

export enum PeerFailureKind {
    /** There is no open link; nothing was sent. */
    NotConnected = "NotConnected",
    /** No reply arrived before the timeout; the peer may have acted on the request. */
    TimedOut = "TimedOut",
    /** The peer replied that it can't serve the request. */
    Refused = "Refused",
}

export type PeerResult =
    | { readonly ok: true; readonly message: Message }
    | { readonly ok: false; readonly kind: PeerFailureKind; readonly text: string };

export interface RequestOptions {
    readonly lane: Lane;
    readonly timeoutMilliseconds: number;
}

export type MessageHandler<K extends MessageKind> = (
    message: MessageOf<K>,
    from: core.InstanceId,
) => Promise<Message | undefined>;

/** Sends messages to peers and dispatches the messages that they send. */
export abstract class PeerNetwork {
    /** Sends a message and waits for the reply with the same correlation id. */
    abstract request(peer: core.InstanceId, message: Message, options: RequestOptions): Promise<PeerResult>;
    /**
     * Sends a notification without waiting for a reply; returns false if no link is open. A notification may be lost, so no state
     * may depend on its delivery. The bulk lane is closed when idle; a notification on it is sent once the lane is open.
     */
    abstract notify(peer: core.InstanceId, message: Message, lane: Lane): boolean;
    /** Sends a notification to every connected peer, encoding it once per frame form. */
    abstract notifyAll(message: Message, lane: Lane): void;
    /** Registers the handler for a message kind; there is one per kind. */
    abstract handle<K extends MessageKind>(kind: K, handler: MessageHandler<K>): void;
    /** Peers with an open link. */
    abstract getConnectedPeers(): readonly core.InstanceId[];
    /** Peers whose link went silent without being closed, as in a network partition; they may still be running. */
    abstract getSilentPeers(): readonly core.InstanceId[];
}

/**
 * The members of the fleet and the holders of assignments. This is soft state: two instances may disagree for a while, so it
 * alone never guarantees that an assignment has a single holder.
 */
export abstract class Membership {
    abstract getSelf(): core.InstanceId;
    /** The instances known to be live, including this one while it is live. */
    abstract getLiveInstances(): readonly core.InstanceDescription[];
    /** The holder of an assignment such as `ledger/17`, by rendezvous hashing over the live instances. */
    abstract tryGetHolder(assignment: string): core.InstanceId | undefined;
    /** The holder among the live instances of a data centre, or among all live instances if the data centre has none. */
    abstract tryGetHolderIn(dataCentre: core.DataCentre, assignment: string): core.InstanceId | undefined;
    /** Whether the instance is known to have been removed (not listed and silent), as opposed to being slow. */
    abstract isRemoved(instance: core.InstanceId): boolean;
    /** Calls `listener` when the set of live instances changes. The returned function unsubscribes it. */
    abstract onChange(listener: () => void): () => void;
}
