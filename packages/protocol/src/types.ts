import type * as core from "@boragedale/core";

/** Version of the inner protocol; two neighbouring ones may meet during a rolling upgrade. */
export const ProtocolVersion = 1;

/**
 * Lanes of a peer link. Each lane is a connection of its own, since within one connection a bulk message would delay
 * the small one behind it.
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
}

/** First frame of the accepting end: what the other end's proof must cover, so that an old proof is worth nothing. */
export interface Challenge {
    readonly kind: MessageKind.Challenge;
    readonly challenge: string;
}

export interface Hello {
    readonly kind: MessageKind.Hello;
    readonly version: number;
    readonly instance: core.InstanceId;
    readonly lane: Lane;
    /** What the other end's answer must cover. */
    readonly challenge: string;
    /** Proof of the shared key over both ends' challenges, in hexadecimal. */
    readonly proof: string;
    /** Whether the sender reads frames in the packed form; absent: it doesn't. */
    readonly readsPacked?: boolean;
    /** Where peers reach the sender's face, such as `ws://10.0.0.1:7001`; absent: it doesn't know. */
    readonly url?: string;
}

/** Sent both ways on the control lane; a link without one for three intervals is taken as silent and replaced. */
export interface Heartbeat {
    readonly kind: MessageKind.Heartbeat;
    readonly generation: core.Generation;
    /** Of the sender's registry entries, where it keeps any: a 32 bit sum that differs where they do. */
    readonly digest?: number;
    /** Time-line clock of the sender. */
    readonly logicalTime: number;
    /** Whether the sender takes new duties. */
    readonly state: core.LifeState;
    /** Whether the sender's registry entries come from watches of the store that are answered. */
    readonly isWatching?: boolean;
    /**
     * Revision of the sender's configuration, and the highest one of its upstreams' entries with a 32 bit sum over these. Members
     * come and go all the time in a large fleet, so that the revision of all entries is hardly ever the same at both ends.
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

/** Opaque to the protocol: the work package encodes its own records. */
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

/** An instance tells an upstream's home how much online work it has there; the home makes room. */
export interface OnlinePressure {
    readonly kind: MessageKind.OnlinePressure;
    readonly upstream: core.UpstreamId;
    readonly inFlight: number;
    readonly queued: number;
    /** Shortest time between two tokens that the sender saw there in the last second, in milliseconds. */
    readonly fastestGap?: number;
}

/** The home's answer to `OnlinePressure`: what it knows of the upstream. */
export interface OnlineTotal {
    readonly kind: MessageKind.OnlineTotal;
    readonly upstream: core.UpstreamId;
    /** Online requests there, over all instances. */
    readonly inFlight: number;
    /** The upstream says itself that it takes no new work. */
    readonly isLeaving: boolean;
    /** Shortest time between two tokens that anybody saw there in the last second, in milliseconds. */
    readonly fastestGap?: number;
}

/** A request that was in flight when an upstream died. */
export interface SuspectReport {
    readonly kind: MessageKind.SuspectReport;
    readonly fingerprint: string;
    readonly deaths: number;
    /** Deaths on each upstream; merging takes the higher count of each, so that a repeated report adds nothing. */
    readonly deathsByUpstream?: Readonly<Record<core.UpstreamId, number>>;
}

/** Asks a peer that has seen later changes for the entries after a revision. */
export interface RegistryRequest {
    readonly kind: MessageKind.RegistryRequest;
    readonly revision: number;
}

export interface RegistryEntry {
    readonly key: string;
    readonly revision: number;
    /** Absent: the key was removed at the revision. */
    readonly value?: Uint8Array;
    /** Whether the value is compressed (raw deflate). */
    readonly isDeflated?: boolean;
}

/** Entries of the metadata store that the sender has seen; the highest revision of a key wins. */
export interface RegistryEntries {
    readonly kind: MessageKind.RegistryEntries;
    /** All that the store had, not only what is news. */
    readonly isWhole: boolean;
    readonly entries: readonly RegistryEntry[];
    /** Revision up to which keys that aren't among the entries don't exist. */
    readonly settled?: number;
}

/** Requests that the sender has on upstreams; each line replaces the one before it. */
export interface SlotUses {
    readonly kind: MessageKind.SlotUses;
    /** Upstreams that aren't listed have none. */
    readonly isWhole: boolean;
    readonly uses: readonly (readonly [upstream: core.UpstreamId, online: number, batch: number])[];
}

/** An online request needs a place that the receiver's batch work holds on the upstream. */
export interface YieldSlot {
    readonly kind: MessageKind.YieldSlot;
    readonly upstream: core.UpstreamId;
}

/** Asks the home of an upstream whether a batch item may start there. */
export interface BatchStart {
    readonly kind: MessageKind.BatchStart;
    readonly upstream: core.UpstreamId;
    /** Places of the upstream, and those of them that stay free for online work. */
    readonly slots: number;
    readonly reserve: number;
}

export interface BatchStartReply {
    readonly kind: MessageKind.BatchStartReply;
    readonly isGranted: boolean;
}

/** Asks a home for a place of one of its engines for an online request. */
export interface SlotRequest {
    readonly kind: MessageKind.SlotRequest;
    readonly service: string;
    /** Engines that the sender would not use; mostly absent, and every byte goes with each request. */
    readonly except?: readonly core.UpstreamId[];
}

export interface SlotReply {
    readonly kind: MessageKind.SlotReply;
    /** Absent: the receiver is home of none of them. */
    readonly upstream?: core.UpstreamId;
    /** Requests that wait there; 0: the place is the sender's, and counted as such. */
    readonly waiting: number;
    /** Places that online requests could still have of the receiver. */
    readonly free: number;
}

/** Asks a home for a place for a batch item; answered when one comes free, or after a bounded wait without one. */
export interface BatchSlotRequest {
    readonly kind: MessageKind.BatchSlotRequest;
    readonly service: string;
}

export interface BatchSlotReply {
    readonly kind: MessageKind.BatchSlotReply;
    /** Absent: none came free. */
    readonly upstream?: core.UpstreamId;
}

/** The sender runs the submission, which is durable. */
export interface SubmissionOwned {
    readonly kind: MessageKind.SubmissionOwned;
    readonly submission: string;
}

/** Asks the owner for results from a position on. */
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

/** Asks the owner for the body of an item that is not listed. */
export interface SubmissionItemRead {
    readonly kind: MessageKind.SubmissionItemRead;
    readonly submission: string;
    readonly item: string;
}

export interface SubmissionItemBody {
    readonly kind: MessageKind.SubmissionItemBody;
    /** Absent: the submission has no such item, or has ended. */
    readonly body?: Uint8Array;
}

/** Asks the owner to end a submission; answered once that is durable. */
export interface SubmissionEnd {
    readonly kind: MessageKind.SubmissionEnd;
    readonly submission: string;
}

export interface SubmissionEnded {
    readonly kind: MessageKind.SubmissionEnded;
}

/** The sender leaves; the receiver takes the submission over at once, and goes on where the items stand. */
export interface SubmissionHandover {
    readonly kind: MessageKind.SubmissionHandover;
    readonly submission: string;
    /** Items that have begun: index, id of the last event, data of the events so far. */
    readonly progress: readonly (readonly [item: number, lastEventId: number, texts: readonly string[]])[];
}

/** The sender can't reach the store: the receiver may keep the submission and run it. */
export interface SubmissionForward {
    readonly kind: MessageKind.SubmissionForward;
    readonly submission: string;
    readonly host: string;
    readonly target: string;
    /** Packed by the gateway. */
    readonly items: Uint8Array;
    readonly waitMilliseconds: number;
    /** Absent: its route needed no key, or no customers are configured. */
    readonly customer?: string;
}

/** The submission is durable. */
export interface SubmissionKept {
    readonly kind: MessageKind.SubmissionKept;
}

/** The submission could not be kept in time. */
export interface SubmissionNotKept {
    readonly kind: MessageKind.SubmissionNotKept;
    /** Whether it is certain that it will not be kept either: a write without an answer may be carried out late. */
    readonly isCertain: boolean;
}

/** Asks the keeper of a customer's limit whether a request of the customer may run. */
export interface QuotaClaim {
    readonly kind: MessageKind.QuotaClaim;
    readonly customer: string;
    /** The limit as the sender knows it. */
    readonly requestsPerSecond: number;
    readonly burst: number;
    /** Requests of the customer that the sender ran in the last window and that the receiver has not counted. */
    readonly uncounted: number;
}

export interface QuotaReply {
    readonly kind: MessageKind.QuotaReply;
    readonly isGranted: boolean;
    /** When the caller may come back, where it was not granted. */
    readonly retryAfterMilliseconds: number;
}

/** Requests that the receiver granted and that no upstream ran. */
export interface QuotaReturn {
    readonly kind: MessageKind.QuotaReturn;
    readonly customer: string;
    readonly count: number;
}

/** The peer could not serve a request; `text` says why. */
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
    | Refused;

export type MessageOf<K extends MessageKind> = Extract<Message, { readonly kind: K }>;

export enum PeerFailureKind {
    /** There is no open link: nothing was sent. */
    NotConnected = "NotConnected",
    /** No reply within the time given: the peer may have acted. */
    TimedOut = "TimedOut",
    /** The peer answered that it can't. */
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

/** The links to the peers whose duties this instance uses. */
export abstract class PeerNetwork {
    /** Sends a message and waits for the reply that carries its correlation id. */
    abstract request(peer: core.InstanceId, message: Message, options: RequestOptions): Promise<PeerResult>;
    /**
     * Sends without waiting; false where no link is open. A notice may be lost: state must not rest on it. One of the bulk lane, which
     * is closed when idle, is sent when the lane has been opened for it.
     */
    abstract notify(peer: core.InstanceId, message: Message, lane: Lane): boolean;
    /** Sends a notice to every linked peer; packed once. */
    abstract notifyAll(message: Message, lane: Lane): void;
    /** Registers the one handler of a kind of message. */
    abstract handle<K extends MessageKind>(kind: K, handler: MessageHandler<K>): void;
    /** Peers with an open link. */
    abstract getConnectedPeers(): readonly core.InstanceId[];
    /** Peers whose link went silent without being closed, as across a cut: they may be at work out of reach. */
    abstract getSilentPeers(): readonly core.InstanceId[];
}

/** Who is in the fleet, and who holds which duty. Soft state: a duty is never safe only because of it. */
export abstract class Membership {
    abstract getSelf(): core.InstanceId;
    /** Live instances as far as known here, this one included while it is live. */
    abstract getLiveInstances(): readonly core.InstanceDescription[];
    /** The holder of a duty such as `ledger/17`, by rendezvous hashing over the live instances. */
    abstract tryGetHolder(duty: string): core.InstanceId | undefined;
    /** The holder among the instances of one data centre, or of the fleet where it has none. */
    abstract tryGetHolderIn(dataCentre: core.DataCentre, duty: string): core.InstanceId | undefined;
    /** Whether the instance is known to be gone (absent from the list and silent), not only slow. */
    abstract isGone(instance: core.InstanceId): boolean;
    /** Calls `listener` when the set of live instances changes; the returned function stops it. */
    abstract onChange(listener: () => void): () => void;
}
