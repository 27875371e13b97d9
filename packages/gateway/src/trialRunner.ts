import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import type * as memberDirectory from "./memberDirectory.js";
import type * as stateOwners from "./stateOwners.js";

/** What a quarantine stops. */
export interface QuarantineName {
    readonly quarantine: protocol.QuarantineKind;
    /** The part, or the fingerprint of the request. */
    readonly name: string;
}

/** Outcome of a trial. */
export enum TrialOutcome {
    /** It was answered beyond the beginning, so the quarantine was false. */
    Answered = "Answered",
    /** The upstream crashed or broke off before. */
    Broken = "Broken",
    /** It was not run, fell silent or was stopped, which proves nothing. */
    Inconclusive = "Inconclusive",
}

export interface TrialRunnerParts {
    readonly network: protocol.PeerNetwork;
    readonly members: memberDirectory.MemberDirectory;
    readonly owners: stateOwners.StateOwners;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
}

/** A request that may be sent although it is quarantined. */
interface Trial {
    readonly quarantines: readonly QuarantineName[];
    /** Time by which it must have been sent. */
    readonly expiresAt: core.MonotonicMilliseconds;
    upstream: core.UpstreamId | undefined;
}

/** Time for the member that decides on trials to reply. Without it there is no trial. */
const DecisionTimeoutMilliseconds = 300;
/** Pause after a question without a reply. */
const UnansweredPauseMilliseconds = 500;

/**
 * Sends quarantined requests as trials, one at a time in the fleet: the owner of a quarantine's name decides when. A trial is
 * recognised by the id of its request.
 */
export class TrialRunner {
    private readonly schedules: Readonly<Record<protocol.QuarantineKind, decisions.QuarantineTrials>> = {
        [protocol.QuarantineKind.Part]: new decisions.QuarantineTrials(decisions.PartTrialDelays),
        [protocol.QuarantineKind.Request]: new decisions.QuarantineTrials(decisions.RequestTrialDelays),
    };
    private readonly trials = new Map<string, Trial>();
    /** Quarantines whose owner is being asked. */
    private readonly asked = new Set<string>();

    constructor(private readonly parts: TrialRunnerParts) {
        const { network, clock } = parts;
        network.handle(protocol.MessageKind.QuarantineTrialRequest, async ({ quarantine, name, isOwed }) => ({
            kind: protocol.MessageKind.QuarantineTrialReply,
            ...this.schedules[quarantine].decide(name, clock.now(), isOwed),
        }));
        network.handle(protocol.MessageKind.QuarantineTrialFailed, async ({ quarantine, name, failures }) => {
            this.schedules[quarantine].recordFailure(name, failures, clock.now());
            return undefined;
        });
    }

    /** Call for each quarantine that becomes known, with the number of trials that have failed. */
    begin({ quarantine, name }: QuarantineName, failures: number): void {
        this.schedules[quarantine].begin(name, failures, this.parts.clock.now());
    }

    /** The quarantine has ended. */
    end({ quarantine, name }: QuarantineName): void {
        this.schedules[quarantine].end(name);
    }

    /** Time until the next trial may be sent. */
    getWait({ quarantine, name }: QuarantineName): number {
        return this.schedules[quarantine].tryGetWait(name, this.parts.clock.now()) ?? 0;
    }

    /** Whether the request may be sent, or has been sent, as a trial. */
    isTrial(request: string): boolean {
        const trial = this.trials.get(request);
        return trial !== undefined && (trial.upstream !== undefined || trial.expiresAt > this.parts.clock.now());
    }

    /** Asks whether the request may be sent as a trial of its quarantines. */
    async tryBegin(
        { id: request, isOwed = false }: decisions.PromptRequest,
        quarantines: readonly QuarantineName[],
    ): Promise<boolean> {
        if (this.isTrial(request)) {
            return true;
        }
        for (const each of quarantines) {
            if (!(await this.askOwner(each, isOwed))) {
                return false;
            }
        }
        const now = this.parts.clock.now();
        this.trials.forEach(({ expiresAt, upstream }, id) => {
            if (upstream === undefined && expiresAt <= now) {
                this.trials.delete(id);
            }
        });
        this.trials.set(request, { quarantines, expiresAt: now + decisions.TrialMilliseconds, upstream: undefined });
        return true;
    }

    /** Call when a request is sent. */
    onSent(request: string, upstream: core.UpstreamId): void {
        const trial = this.trials.get(request);
        if (trial === undefined) {
            return;
        }
        trial.upstream = upstream;
        for (const { quarantine, name } of trial.quarantines) {
            const failures = this.schedules[quarantine].getFailures(name);
            const fields = { quarantine, name, request, upstream, failures };
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.QuarantineTrialStarted, fields);
        }
    }

    /**
     * Call when the answer to a request is past its beginning, which refutes the quarantines of its parts. A request that is
     * quarantined by itself may crash its upstream later.
     */
    onPastBeginning(request: string): void {
        const isOfParts = this.trials
            .get(request)
            ?.quarantines.every(({ quarantine }) => quarantine === protocol.QuarantineKind.Part);
        if (isOfParts === true) {
            this.onOutcome(request, TrialOutcome.Answered);
        }
    }

    /** Call when an attempt has ended, or its outcome is known. Returns the quarantines that a broken trial confirms. */
    onOutcome(request: string, outcome: TrialOutcome): readonly (QuarantineName & { readonly failures: number })[] {
        const trial = this.trials.get(request);
        if (trial?.upstream === undefined) {
            return [];
        }
        this.trials.delete(request);
        const isFailure = outcome === TrialOutcome.Broken;
        const results = trial.quarantines.map(({ quarantine, name }) => ({
            quarantine,
            name,
            failures: this.schedules[quarantine].getFailures(name) + (isFailure ? 1 : 0),
        }));
        for (const { quarantine, name, failures } of results) {
            const fields = { quarantine, name, request, upstream: trial.upstream, outcome, failures };
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.QuarantineTrialEnded, fields);
            if (isFailure) {
                this.schedules[quarantine].recordFailure(name, failures, this.parts.clock.now());
                this.notify({ kind: protocol.MessageKind.QuarantineTrialFailed, quarantine, name, failures });
            }
        }
        return isFailure ? results : [];
    }

    /** Sends a message on a quarantine to all connected members and to those that may decide on its trials. */
    notify(message: protocol.QuarantineTrialFailed | protocol.QuarantineEnded): void {
        const { network, members } = this.parts;
        network.notifyAll(message, protocol.Lane.Control);
        const connected = new Set(network.getConnectedPeers());
        for (const owner of this.rankOwners(message).filter(id => id !== members.self.id && !connected.has(id))) {
            // Opens a link. The owner doesn't reply.
            const options = { lane: protocol.Lane.Control, timeoutMilliseconds: DecisionTimeoutMilliseconds };
            void network.request(owner, message, options);
        }
    }

    private async askOwner(asked: QuarantineName, isOwed: boolean): Promise<boolean> {
        const { network, clock, members } = this.parts;
        const { quarantine, name } = asked;
        const schedule = this.schedules[quarantine];
        const key = `${quarantine}/${name}`;
        if (schedule.tryGetWait(name, clock.now()) === undefined) {
            schedule.begin(name, 0, clock.now());
        }
        if (this.asked.has(key) || (schedule.tryGetWait(name, clock.now(), isOwed) ?? 0) > 0) {
            return false;
        }
        const owner = this.rankOwners(asked)[0];
        if (owner === undefined || owner === members.self.id) {
            return schedule.decide(name, clock.now(), isOwed).isGranted;
        }
        this.asked.add(key);
        const message = { kind: protocol.MessageKind.QuarantineTrialRequest, quarantine, name, isOwed } as const;
        const options = { lane: protocol.Lane.Control, timeoutMilliseconds: DecisionTimeoutMilliseconds };
        const reply = await network.request(owner, message, options);
        this.asked.delete(key);
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.QuarantineTrialReply) {
            schedule.postpone(name, UnansweredPauseMilliseconds, clock.now(), isOwed);
            return false;
        }
        schedule.recordFailure(name, reply.message.failures, clock.now());
        schedule.postpone(name, reply.message.waitMilliseconds, clock.now(), isOwed);
        return reply.message.isGranted;
    }

    private rankOwners({ quarantine, name }: QuarantineName): readonly core.InstanceId[] {
        const { network, owners } = this.parts;
        return owners.rank(`${quarantine}/${name}`, new Set(network.getSilentPeers()));
    }
}
