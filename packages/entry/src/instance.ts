import * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as callerEndpoint from "./callerEndpoint/server.js";
import * as composition from "./composition.js";
import * as endpointListener from "./endpointListener.js";
import * as operatorEndpoint from "./operatorEndpoint/server.js";
import type * as settings from "./settings.js";

/** A running entry instance. Disposing it stops it at once, and `drain` and `waitUntilDrained` stop it gracefully. */
export interface Instance extends AsyncDisposable {
    readonly description: core.InstanceDescription;
    readonly parts: composition.Parts;
    /** Begins a graceful stop. Does nothing if it has already begun. */
    drain(): void;
    /** Resolves when a graceful stop has begun and no request is in progress any more. */
    waitUntilDrained(): Promise<void>;
}

const DrainPollMilliseconds = 50;

/** Starts all parts of an instance and listens on its endpoints. */
export async function startInstance(given: settings.EntrySettings): Promise<Instance> {
    const owned = new core.DisposalStack();
    try {
        return await start(given, owned);
    }
    catch (error) {
        // Stop the parts that already run, for example when a port is taken.
        await owned[Symbol.asyncDispose]();
        throw error;
    }
}

async function start(given: settings.EntrySettings, owned: core.DisposalStack): Promise<Instance> {
    const clock = new core.SystemClock();
    const container = composition.createContainer({ settings: given, clock });
    const callers = owned.use(await endpointListener.EndpointListener.listen(given.host, given.callerPort));
    const operators = owned.use(await endpointListener.EndpointListener.listen(given.host, given.operatorPort));
    const ports = { caller: callers.getPort(), operator: operators.getPort() };
    const parts = await composition.startParts(container, ports, owned);
    const drain = new Drain(parts, given.drainGraceMilliseconds);
    await operators.attach(createOperatorEndpoint(parts, drain));
    await callers.attach(createCallerEndpoint(parts, drain));
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
 * A graceful stop. It is first announced to the balancer and the peers while requests are still accepted, because a
 * balancer that hasn't noticed yet would otherwise pass refusals on to callers. New requests are then refused as not
 * run, and the stop waits for all requests in progress, however long a stream takes.
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

function createCallerEndpoint(
    parts: composition.Parts,
    drain: Drain,
): ReturnType<typeof callerEndpoint.createCallerEndpoint> {
    return callerEndpoint.createCallerEndpoint({
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

function createOperatorEndpoint(
    parts: composition.Parts,
    drain: Drain,
): ReturnType<typeof operatorEndpoint.createOperatorEndpoint> {
    return operatorEndpoint.createOperatorEndpoint({
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

/**
 * Why the instance should get no requests. One without contact to the platform and all peers may use an old release
 * note.
 */
function tryGetUnreadiness(parts: composition.Parts): string | undefined {
    if (parts.keeper.tryGetNote() === undefined) {
        return "no release note is in force here";
    }
    return parts.keeper.isConfirmed() ? undefined : "neither the platform nor a peer confirmed the note lately";
}
