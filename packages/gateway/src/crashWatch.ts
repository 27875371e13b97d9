import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import * as coordinatorDirectory from "./homeDirectory.js";
import type * as memberDirectory from "./memberDirectory.js";
import type * as quarantineRecords from "./quarantineRecords.js";
import type * as stateOwners from "./stateOwners.js";
import * as trialRunner from "./trialRunner.js";
import type * as types from "./types.js";
import * as upstreamProbe from "./upstreamProbe.js";

/** Crashed upstreams after which a request is quarantined: the platform allows one request to crash three. */
const CrashesToQuarantine = 3;
/**
 * Events after which an answer is past its beginning. Upstreams that crash on a part of a prompt do so at the first one; the others
 * allow for events that are sent before the crash.
 */
export const BeginningEvents = 4;
/** Members of a large fleet to which crashes are reported. Two suffice if one of them is lost. */
const CrashRecorders = 2;
/** Stands for the upstreams that a recorded request has crashed. */
const RecordedCrashes = "recorded";
/** Time in which a link to a recorder is opened if there is none. */
const RecorderTimeoutMilliseconds = 1_000;
/** Minimum delay given to callers of quarantined requests, which are then tried again one by one. */
const MinimumRetryMilliseconds = 1_000;
/** Hash key by which all members choose the same recorders. */
const RecorderKey = "crashes";
/** Parts in one report, which must fit into a frame of the control lane. */
const MaximumReportedParts = 100;
/** Parts of a prompt that are considered, and the length of their ids, which limit the size of a report. */
const MaximumParts = 32;
const MaximumPartLength = 64;

/** Dependencies of `CrashWatch`. */
export interface CrashWatchParts {
    readonly network: protocol.PeerNetwork;
    readonly members: memberDirectory.MemberDirectory;
    readonly owners: stateOwners.StateOwners;
    readonly records: quarantineRecords.QuarantineRecords;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    /** Absent: connects to the upstream. */
    readonly probe?: upstreamProbe.Probe;
}

/** Detects requests that crash upstreams, by the whole request or by a part of its prompt. Members share their findings. */
export class CrashWatch {
    readonly suspects = new decisions.SuspectRegistry(CrashesToQuarantine);
    private readonly partsInProgress = new decisions.PartsInProgress();
    private readonly detector = new decisions.CrashingPartDetector();
    /** Fingerprints of the quarantined requests of which the store has a record, or which is being written. */
    private readonly recordedRequests = new Set<string>();
    private readonly trials: trialRunner.TrialRunner;
    private readonly probes = new Map<core.UpstreamId, Promise<void>>();

    constructor(private readonly parts: CrashWatchParts) {
        const { network, clock } = parts;
        this.trials = new trialRunner.TrialRunner(parts);
        network.handle(protocol.MessageKind.SuspectReport, async message => {
            const report = { fingerprint: message.fingerprint, deathsByUpstream: message.deathsByUpstream ?? {} };
            this.suspects.merge(report, clock.now());
            this.record(message.fingerprint, false);
            return undefined;
        });
        network.handle(protocol.MessageKind.PromptPartCrash, async ({ upstream, parts: rows, details }) => {
            const inProgress = rows.map(([part, position, fingerprint], index) => {
                const [ageMilliseconds, share] = details?.[index] ?? [];
                return { part, position, fingerprint, ageMilliseconds, share };
            });
            this.recordCrash({ upstream, parts: inProgress });
            return undefined;
        });
        network.handle(protocol.MessageKind.PromptPartsAnswered, async message => {
            this.detector.recordAnswered(message.parts, clock.now());
            message.parts.forEach(name => this.trials.end({ quarantine: protocol.QuarantineKind.Part, name }));
            return undefined;
        });
        network.handle(protocol.MessageKind.PromptPartQuarantined, async ({ part, remainingMilliseconds }) => {
            this.detector.quarantine(part, remainingMilliseconds, clock.now());
            this.trials.begin({ quarantine: protocol.QuarantineKind.Part, name: part }, 0);
            return undefined;
        });
        network.handle(protocol.MessageKind.QuarantineEnded, async ended => {
            this.applyEnd(ended);
            return undefined;
        });
    }

    /**
     * Whether a request crashes upstreams, by itself or by a part of its prompt, and must not be sent. `getRequest` is only
     * called if there is any quarantine.
     */
    isQuarantined(getRequest: () => decisions.PromptRequest): boolean {
        if (!this.detector.hasQuarantines() && !this.suspects.hasSuspects()) {
            return false;
        }
        const request = getRequest();
        return this.listQuarantines(request).length > 0 && !this.trials.isTrial(request.id);
    }

    /** Asks whether a quarantined request may be sent as a trial, which finds out whether it crashes upstreams. */
    async tryBeginTrial(request: decisions.PromptRequest): Promise<boolean> {
        return this.trials.tryBegin(request, this.listQuarantines(request));
    }

    /** Time until a quarantined request may be sent again, alone or as a trial. */
    getRetryAfter(request: decisions.PromptRequest, remainingMilliseconds: number): number {
        const waits = this.listQuarantines(request).map(quarantine => this.trials.getWait(quarantine));
        return Math.min(remainingMilliseconds, Math.max(MinimumRetryMilliseconds, ...waits));
    }

    /** The first of the prompt parts that crashes upstreams. A request that has it must not be sent. */
    tryGetQuarantined(parts: readonly string[]): decisions.QuarantinedPart | undefined {
        return this.detector.tryGetQuarantined(parts, this.parts.clock.now());
    }

    /** Applies changed entries of the fleet. */
    applyEntries(entries: readonly types.StoreEntry[]): void {
        const now = this.parts.clock.now();
        this.parts.records.suspects.readReports(entries).forEach(report => this.suspects.merge(report, now));
        for (const change of this.parts.records.readChanges(entries)) {
            const { quarantine, name, remainingMilliseconds, failures } = change;
            if (remainingMilliseconds <= 0) {
                this.applyRemoval(change);
                continue;
            }
            this.trials.begin(change, failures);
            if (quarantine === protocol.QuarantineKind.Request) {
                this.recordedRequests.add(name);
                const deathsByUpstream = { [RecordedCrashes]: CrashesToQuarantine };
                this.suspects.merge({ fingerprint: name, deathsByUpstream }, now);
            }
            else {
                this.detector.quarantine(name, remainingMilliseconds, now);
            }
        }
    }

    /** Call when a request with a prompt is sent. */
    onSent(upstream: types.UpstreamEntry, request: decisions.PromptRequest): void {
        this.partsInProgress.onSent(getIncarnation(upstream), request, this.parts.clock.now());
        this.trials.onSent(request.id, upstream.id);
    }

    /** Call when an answer has `BeginningEvents` events or is complete, which proves the request's parts innocent. */
    onAnswered(upstream: types.UpstreamEntry, request: decisions.PromptRequest): void {
        if (!this.partsInProgress.remove(getIncarnation(upstream), request.id)) {
            return;
        }
        this.trials.onPastBeginning(request.id);
        const now = this.parts.clock.now();
        const quarantined = request.parts.filter(part => this.detector.tryGetQuarantined([part], now) !== undefined);
        const cleared = this.detector.recordAnswered(request.parts, now);
        if (cleared.length > 0) {
            this.send({ kind: protocol.MessageKind.PromptPartsAnswered, parts: cleared });
        }
        const quarantine = protocol.QuarantineKind.Part;
        quarantined.forEach(name => this.announceEnd({ quarantine, name }, request, upstream));
    }

    /** Call when a request is complete, or far enough to prove it innocent. */
    onFinished(upstream: types.UpstreamEntry, request: decisions.PromptRequest): void {
        const { fingerprint } = request;
        const isQuarantined = this.isRequestQuarantined(fingerprint);
        this.suspects.onFinished(request.id, upstream.id);
        if (isQuarantined && !this.isRequestQuarantined(fingerprint)) {
            this.trials.onOutcome(request.id, trialRunner.TrialOutcome.Answered);
            const quarantine = protocol.QuarantineKind.Request;
            this.announceEnd({ quarantine, name: fingerprint }, request, upstream);
        }
    }

    /** Call when the attempt has ended, after `onBroken` if its connection broke. */
    onEnded(upstream: types.UpstreamEntry, request: decisions.PromptRequest): void {
        this.partsInProgress.remove(getIncarnation(upstream), request.id);
        this.trials.onOutcome(request.id, trialRunner.TrialOutcome.Inconclusive);
    }

    /**
     * Call when a connection breaks while a request runs, before reporting the end of the request to `suspects`. A broken
     * connection alone doesn't prove a crash, since connections are also reset by the network. If new connections are
     * refused, the upstream has crashed, and all requests that it ran become suspect. Resolves when the check is complete.
     */
    async onBroken(upstream: types.UpstreamEntry, request: decisions.PromptRequest): Promise<void> {
        // Also if the upstream is well: it may have crashed and restarted within milliseconds.
        for (const confirmed of this.trials.onOutcome(request.id, trialRunner.TrialOutcome.Broken)) {
            this.renewRecord(confirmed);
        }
        let running = this.probes.get(upstream.id);
        if (running === undefined) {
            running = this.runProbe(upstream).finally(() => this.probes.delete(upstream.id));
            this.probes.set(upstream.id, running);
        }
        return running;
    }

    /** Whether a new connection to the upstream can be established. */
    async acceptsConnections(upstream: types.UpstreamEntry): Promise<boolean> {
        const { probe = upstreamProbe.acceptsConnections } = this.parts;
        return probe(upstream.address);
    }

    private async runProbe(upstream: types.UpstreamEntry): Promise<void> {
        const { probe = upstreamProbe.mayBeRunning, clock, log, network } = this.parts;
        if (await probe(upstream.address)) {
            return;
        }
        const reports = this.suspects.onUpstreamDied(upstream.id, clock.now());
        const crash = {
            upstream: getIncarnation(upstream),
            parts: this.partsInProgress.list(getIncarnation(upstream), clock.now()).slice(0, MaximumReportedParts),
        };
        log.recordEvent(gatewayLog.GatewayEvent.UpstreamDied, {
            upstream: upstream.id,
            suspects: reports.length,
            parts: [...new Set(crash.parts.map(({ part }) => part))].join(","),
        });
        for (const { fingerprint, deathsByUpstream } of reports) {
            const deaths = decisions.countReportedDeaths({ fingerprint, deathsByUpstream });
            const kind = protocol.MessageKind.SuspectReport;
            const message = { kind, fingerprint, deaths, deathsByUpstream } as const;
            network.notifyAll(message, protocol.Lane.Control);
            this.sendToRecorders(message);
            this.record(fingerprint, true);
        }
        this.send({
            kind: protocol.MessageKind.PromptPartCrash,
            upstream: crash.upstream,
            parts: crash.parts.map(({ part, position, fingerprint }) => [part, position, fingerprint] as const),
            details: crash.parts.map(
                ({ ageMilliseconds = 0, share = 0 }) => [Math.round(ageMilliseconds), share] as const,
            ),
        });
        this.recordCrash(crash);
    }

    /** Records a crash here, and announces the part that it proves guilty. */
    private recordCrash(crash: decisions.UpstreamCrash): void {
        const { network, clock, log, records } = this.parts;
        const guilty = this.detector.recordCrash(crash, clock.now());
        if (guilty === undefined) {
            return;
        }
        const { part, remainingMilliseconds, crashes, moments, requests, share } = guilty;
        log.recordEvent(gatewayLog.GatewayEvent.PartQuarantined, {
            part,
            upstream: crash.upstream,
            crashes,
            moments,
            requests,
            share: Math.round(share * 100) / 100,
        });
        const kind = protocol.MessageKind.PromptPartQuarantined;
        network.notifyAll({ kind, part, remainingMilliseconds }, protocol.Lane.Control);
        const quarantine = { quarantine: protocol.QuarantineKind.Part, name: part };
        this.trials.begin(quarantine, 0);
        const isCurrent = (): boolean => this.isCurrent(quarantine);
        void records.write({ ...quarantine, remainingMilliseconds, failures: 0 }, isCurrent);
    }

    /**
     * Tells members that start, and in a large fleet those that hear of no crash, of a request that has crashed upstreams.
     * `isOwn` tells whether this member has noticed the last crash.
     */
    private record(fingerprint: string, isOwn: boolean): void {
        const getDecision = (): decisions.SuspectDecision =>
            this.suspects.getDecision(fingerprint, this.parts.clock.now());
        const { verdict, deaths, retryAfterMilliseconds } = getDecision();
        if (verdict !== decisions.SuspectVerdict.Quarantined) {
            const report = this.suspects.createReport(fingerprint);
            void this.parts.records.suspects.write(report, isOwn, () => getDecision().deaths === deaths);
            return;
        }
        if (this.recordedRequests.has(fingerprint)) {
            return;
        }
        this.recordedRequests.add(fingerprint);
        const quarantine = { quarantine: protocol.QuarantineKind.Request, name: fingerprint };
        this.trials.begin(quarantine, 0);
        const upstreams = this.suspects.listUpstreams(fingerprint).join(",");
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.RequestQuarantined, { fingerprint, upstreams });
        const change = { ...quarantine, remainingMilliseconds: retryAfterMilliseconds, failures: 0 };
        void this.parts.records.write(change, () => this.isCurrent(quarantine));
    }

    /** Keeps the number of failed trials for members that start. */
    private renewRecord(confirmed: trialRunner.QuarantineName & { readonly failures: number }): void {
        const remainingMilliseconds = decisions.PartQuarantineMilliseconds;
        void this.parts.records.write({ ...confirmed, remainingMilliseconds }, () => this.isCurrent(confirmed));
    }

    private isCurrent({ quarantine, name }: trialRunner.QuarantineName): boolean {
        return quarantine === protocol.QuarantineKind.Part
            ? this.tryGetQuarantined([name]) !== undefined
            : this.isRequestQuarantined(name);
    }

    private isRequestQuarantined(fingerprint: string): boolean {
        const { verdict } = this.suspects.getDecision(fingerprint, this.parts.clock.now());
        return verdict === decisions.SuspectVerdict.Quarantined;
    }

    /**
     * The quarantines that stop a request. One that was accepted to be run later is never quarantined as a whole: it doesn't crash
     * upstreams by itself, and stays owed however many have crashed under it.
     */
    private listQuarantines(request: decisions.PromptRequest): readonly trialRunner.QuarantineName[] {
        const { fingerprint, parts, isOwed = false } = request;
        const { Part, Request } = protocol.QuarantineKind;
        return [
            ...(!isOwed && this.isRequestQuarantined(fingerprint) ? [{ quarantine: Request, name: fingerprint }] : []),
            ...parts
                .filter(name => this.tryGetQuarantined([name]) !== undefined)
                .map(name => ({ quarantine: Part, name })),
        ];
    }

    /** Ends a quarantine in the whole fleet, because a request that has it was answered. */
    private announceEnd(
        ended: trialRunner.QuarantineName,
        { id }: decisions.PromptRequest,
        upstream: types.UpstreamEntry,
    ): void {
        const { quarantine, name } = ended;
        const fields = { quarantine, name, reason: "answered", request: id, upstream: upstream.id };
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.QuarantineEnded, fields);
        this.trials.notify({ kind: protocol.MessageKind.QuarantineEnded, quarantine, name });
        const removal = this.parts.records.removeIfListed(ended);
        this.applyEnd(ended);
        void removal;
    }

    private applyEnd(ended: trialRunner.QuarantineName): void {
        const { quarantine, name } = ended;
        this.parts.records.refute(ended);
        this.trials.end(ended);
        if (quarantine === protocol.QuarantineKind.Request) {
            this.recordedRequests.delete(name);
            this.suspects.clear(name);
        }
        else {
            this.detector.recordAnswered([name], this.parts.clock.now());
        }
    }

    /** Applies the removal of a record. Without it, a quarantined request is still known here until its own time has passed. */
    private applyRemoval(removed: quarantineRecords.QuarantineChange): void {
        const { quarantine, name, isEndedEarly } = removed;
        if (isEndedEarly === true) {
            if (this.isCurrent(removed)) {
                const fields = { quarantine, name, reason: "its record was removed" };
                this.parts.log.recordEvent(gatewayLog.GatewayEvent.QuarantineEnded, fields);
            }
            this.applyEnd(removed);
        }
        else if (quarantine === protocol.QuarantineKind.Part) {
            this.detector.endQuarantine(name, this.parts.clock.now());
        }
    }

    /** Sends a finding to the members that judge the parts: all in a small fleet, in a large one its recorders. */
    private send(message: protocol.PromptPartCrash | protocol.PromptPartsAnswered): void {
        if (this.isLargeFleet()) {
            this.sendToRecorders(message);
            return;
        }
        this.parts.network.notifyAll(message, protocol.Lane.Control);
    }

    /** In a large fleet, sends a finding to the members that collect them. In a small one all members are connected. */
    private sendToRecorders(message: protocol.Message): void {
        const { network, members, owners } = this.parts;
        if (!this.isLargeFleet()) {
            return;
        }
        const recorders = owners.rank(RecorderKey, new Set(network.getSilentPeers())).slice(0, CrashRecorders);
        for (const recorder of recorders.filter(id => id !== members.self.id)) {
            if (!network.notify(recorder, message, protocol.Lane.Control)) {
                // Opens a link. The recorder doesn't reply.
                const options = { lane: protocol.Lane.Control, timeoutMilliseconds: RecorderTimeoutMilliseconds };
                void network.request(recorder, message, options);
            }
        }
    }

    private isLargeFleet(): boolean {
        return this.parts.members.getOthers().length > coordinatorDirectory.NeighbourCount;
    }
}

/** The parts of a prompt that other requests may share: the last one belongs to the request or its session. */
export function getSharedParts(head: types.RequestHead): readonly string[] {
    const shared = head.promptParts.slice(0, -1).slice(0, MaximumParts);
    return shared.filter(part => part !== "" && part.length <= MaximumPartLength);
}

/** Identifies one run of an upstream, which may start again under its id. */
function getIncarnation(upstream: types.UpstreamEntry): string {
    return `${upstream.id}@${upstream.bornMilliseconds}`;
}

/** Identifies a request across attempts by path and body. The attempt id is new whenever a caller repeats its request. */
export function createFingerprint(target: string, body: Uint8Array): string {
    return `${decisions.hashText(target)}-${decisions.hashBytes(body)}-${body.length}`;
}
