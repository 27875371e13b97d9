import * as http from "node:http";
import type * as net from "node:net";
import * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as composition from "./composition.js";
import * as draining from "./draining.js";
import type * as eventLog from "./eventLog.js";
import * as settingsReader from "./settings.js";

/** Addresses that a running gateway listens on, with the actual ports where the system chose them. */
export interface GatewayAddresses {
    readonly caller: string;
    readonly readiness: string;
    readonly metrics: string | undefined;
    readonly peer: string;
}

export interface GatewayOptions {
    /** Returns the current settings. Some of them may change while the process runs. */
    readonly getSettings: () => settingsReader.Settings;
    readonly clock: core.Clock;
    readonly log: eventLog.EventLog;
    /** Resolves when the process is to stop. */
    readonly stop: Promise<void>;
    readonly onStarted?: (addresses: GatewayAddresses) => void;
}

/** Runs the process that serves callers until `stop` resolves and the last request has ended or the grace period is over. */
export async function runGatewayProcess(options: GatewayOptions): Promise<void> {
    const { getSettings, clock, log } = options;
    await using disposables = new core.DisposalStack();
    const components = await composition.createComponents(
        { settings: getSettings(), getSettings, clock, log },
        disposables,
    );
    const isReady = (): boolean => components.view.getConfiguration() !== undefined && !components.lifecycle.isStopping;
    const addresses = await listenOnEndpoints(components, isReady, disposables);
    void components.registry.run();
    components.registration.start(components.registry.whenListed);
    void components.slots.run();
    void components.submissions.run();
    observeGauges(components);
    log.record(telemetry.events.InstanceStarted, { member: components.members.self.id, address: addresses.caller });
    options.onStarted?.(addresses);
    await options.stop;
    await stopGracefully(components);
}

async function listenOnEndpoints(
    components: composition.Components,
    isReady: () => boolean,
    disposables: core.DisposalStack,
): Promise<GatewayAddresses> {
    const { settings, log } = components;
    const callerAddress = settingsReader.getRequiredAddress(settings.callerAddress, "callerAddress");
    await components.server.listen(callerAddress.host, callerAddress.port);
    const readiness = http.createServer((request, response) => {
        request.resume();
        response.writeHead(isReady() ? 200 : 503, { "Content-Length": 0 }).end();
    });
    const metrics = http.createServer((request, response) => {
        request.resume();
        response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(log.metrics.format());
    });
    const readinessAddress = settingsReader.getRequiredAddress(settings.readinessAddress, "readinessAddress");
    return {
        caller: formatAddress(components.server.server),
        readiness: await listen(readiness, readinessAddress, disposables),
        metrics:
            settings.metricsAddress === undefined
                ? undefined
                : await listen(metrics, settingsReader.splitAddress(settings.metricsAddress), disposables),
        peer: components.members.self.peerAddress,
    };
}

async function listen(
    server: http.Server,
    address: { readonly host: string; readonly port: number },
    disposables: core.DisposalStack,
): Promise<string> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    disposables.defer(() => {
        server.close();
        server.closeAllConnections();
    });
    return formatAddress(server);
}

function formatAddress(server: http.Server): string {
    const address = server.address() as net.AddressInfo;
    return `${address.address}:${address.port}`;
}

/** Registers gauges of the process's state, which are evaluated when the metrics are read. */
function observeGauges({ log, view, members, server, submissions }: composition.Components): void {
    const gauges: Readonly<Record<string, () => number>> = {
        boragedale_configuration_version: () => view.getConfiguration()?.version ?? 0,
        boragedale_store_revision: () => view.getRevision(),
        boragedale_members: () => members.getMembers().length,
        boragedale_requests_in_progress: () => server.getInProgressCount(),
        boragedale_submissions_owned: () => submissions.getOwnedCount(),
        boragedale_resident_bytes: () => process.memoryUsage.rss(),
    };
    Object.entries(gauges).forEach(([name, read]) => log.metrics.observeGauge(name, {}, read));
}

async function stopGracefully(components: composition.Components): Promise<void> {
    const { log, server, scheduler, network, submissions } = components;
    components.lifecycle.isStopping = true;
    log.record(telemetry.events.InstanceDraining, { inProgress: server.getInProgressCount() });
    scheduler.stop();
    network.announceLeaving();
    void submissions.handOver();
    await draining.drain(components, components.getSettings());
    log.record(telemetry.events.InstanceStopped, { inProgress: server.getInProgressCount() });
}
