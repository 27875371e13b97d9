import * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as callerFace from "./callerFace/server.js";
import * as composition from "./composition.js";
import * as faceListener from "./faceListener.js";
import * as operatorFace from "./operatorFace/server.js";
import type * as settings from "./settings.js";

/** An entry instance that serves. Disposing it stops it at once; `drain` and `waitUntilDrained` stop it gracefully. */
export interface Instance extends AsyncDisposable {
    readonly description: core.InstanceDescription;
    readonly parts: composition.Parts;
    /** Begins a graceful stop; harmless when it has begun. */
    drain(): void;
    /** Resolves when a stop was asked for and nothing is in progress any more. */
    waitUntilDrained(): Promise<void>;
}

const DrainPollMilliseconds = 50;

/** Starts every part of one instance and listens on its faces. */
export async function startInstance(given: settings.EntrySettings): Promise<Instance> {
    const owned = new core.DisposalStack();
    try {
        return await start(given, owned);
    }
    catch (error) {
        // A port that is taken must not leave the parts that already run behind.
        await owned[Symbol.asyncDispose]();
        throw error;
    }
}

async function start(given: settings.EntrySettings, owned: core.DisposalStack): Promise<Instance> {
    const clock = new core.SystemClock();
    const container = composition.createContainer({ settings: given, clock });
    const callers = owned.use(await faceListener.FaceListener.listen(given.host, given.callerPort));
    const operators = owned.use(await faceListener.FaceListener.listen(given.host, given.operatorPort));
    const ports = { caller: callers.getPort(), operator: operators.getPort() };
    const parts = await composition.startParts(container, ports, owned);
    const drain = new Drain(parts, given.drainGraceMilliseconds);
    await operators.attach(createOperatorFace(parts, drain));
    await callers.attach(createCallerFace(parts, drain));
    parts.telemetry.record(telemetry.events.InstanceStarted, { text: parts.description.callerUrl });
    return {
        description: parts.description,
        parts,
        drain: () => drain.begin(),
        waitUntilDrained: () => drain.ended,
        [Symbol.asyncDispose]: async () => {
            await owned[Symbol.asyncDispose]();
            parts.telemetry.record(telemetry.events.InstanceStopped);
        },
    };
}

/**
 * A graceful stop. The balancer and the peers learn of it first, while requests are still taken: a balancer that has
 * not looked yet would otherwise hand callers a refusal. Then new requests are refused as not run, and the stop waits
 * for what is in progress, however long a stream takes.
 */
class Drain {
    readonly ended: Promise<void>;
    isAnnounced = false;
    isRefusing = false;
    private markEnded: () => void = () => undefined;

    constructor(
        private readonly parts: composition.Parts,
        private readonly graceMilliseconds: number,
    ) {
        this.ended = new Promise(resolve => (this.markEnded = resolve));
    }

    begin(): void {
        if (!this.isAnnounced) {
            this.isAnnounced = true;
            void this.run();
        }
    }

    private async run(): Promise<void> {
        const { clock, dispatcher, membership, network, runner } = this.parts;
        this.parts.telemetry.record(telemetry.events.InstanceDraining);
        membership.leave();
        network.announceLeaving();
        const runnerStopped = runner[Symbol.asyncDispose]();
        await clock.sleep(this.graceMilliseconds);
        this.isRefusing = true;
        await runnerStopped;
        while (dispatcher.getInProgress() > 0) {
            await clock.sleep(DrainPollMilliseconds);
        }
        this.markEnded();
    }
}

function createCallerFace(parts: composition.Parts, drain: Drain): ReturnType<typeof callerFace.createCallerFace> {
    return callerFace.createCallerFace({
        ...pickShared(parts),
        clock: parts.clock,
        dispatcher: parts.dispatcher,
        jobs: parts.jobs,
        bodyLimitBytes: parts.settings.bodyLimitBytes,
        fileLimitBytes: parts.settings.fileLimitBytes,
        isAnnounced: () => drain.isAnnounced,
        isDraining: () => drain.isRefusing,
        tryGetUnreadiness: () => tryGetUnreadiness(parts),
    });
}

function createOperatorFace(
    parts: composition.Parts,
    drain: Drain,
): ReturnType<typeof operatorFace.createOperatorFace> {
    return operatorFace.createOperatorFace({
        ...pickShared(parts),
        instance: parts.description,
        operatorToken: parts.settings.operatorToken,
        publisher: parts.publisher,
        rollout: parts.rollout,
        membership: parts.membership,
        peers: parts.network,
        isDraining: () => drain.isAnnounced,
        getInProgress: () => parts.dispatcher.getInProgress(),
        tryGetUnreadiness: () => tryGetUnreadiness(parts),
        drain: () => drain.begin(),
    });
}

function pickShared(parts: composition.Parts): Pick<composition.Parts, "telemetry" | "keeper" | "ledger"> {
    return { telemetry: parts.telemetry, keeper: parts.keeper, ledger: parts.ledger };
}

/** An instance cut off from the platform and from all peers may act on an old note: it should get no requests. */
function tryGetUnreadiness(parts: composition.Parts): string | undefined {
    if (parts.keeper.tryGetNote() === undefined) {
        return "no release note is in force here";
    }
    return parts.keeper.isConfirmed() ? undefined : "neither the platform nor a peer confirmed the note lately";
}
