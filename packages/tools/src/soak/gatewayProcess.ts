import * as fileSystem from "node:fs";
import * as net from "node:net";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as core from "@boragedale/core";
import * as processes from "../demo/processes.js";

const Program = "packages/daemon/dist/src/main.js";
const GraceMilliseconds = 4_000;
/** How long a gateway that received SIGTERM still gets new connections: the load balancer notices after two checks. */
const BalancerMilliseconds = 1_000;
/** Another process may hold a port of the gateway for a moment while the gateway is down. */
const StartRetryMilliseconds = 200;

export interface GatewayProcessOptions {
    readonly name: string;
    readonly storeAddress: string;
    readonly folder: string;
    /** Folder to which the process's log is appended. */
    readonly logFolder: string | undefined;
}

/** A gateway process that is killed, stopped and started again at the same addresses. */
export class GatewayProcess implements AsyncDisposable {
    private started: processes.StartedProcess | undefined;
    private stoppingSince: number | undefined;
    private isDisposed = false;
    private disturbance: Promise<void> = Promise.resolve();

    private constructor(
        private readonly options: GatewayProcessOptions,
        readonly callerAddress: string,
        readonly readinessAddress: string,
        private readonly settingsFile: string,
    ) {}

    static async create(options: GatewayProcessOptions): Promise<GatewayProcess> {
        const addresses = await chooseAddresses(3);
        const [callerAddress, readinessAddress, peerAddress] = addresses;
        const settings = {
            instance: options.name,
            dataCentre: "a",
            storeAddress: options.storeAddress,
            callerAddress,
            readinessAddress,
            peerAddress,
            peerKey: "key of the soak",
            graceMilliseconds: GraceMilliseconds,
            balancerMilliseconds: BalancerMilliseconds,
        };
        const settingsFile = path.join(options.folder, `${options.name}.json`);
        fileSystem.writeFileSync(settingsFile, JSON.stringify(settings));
        const getAddress = (index: number): string => core.Debug.checkDefined(addresses[index], "one was chosen");
        const created = new GatewayProcess(options, getAddress(0), getAddress(1), settingsFile);
        await created.start();
        return created;
    }

    /** Whether the load balancer sends new connections here. */
    get isInRotation(): boolean {
        const isLeaving =
            this.stoppingSince !== undefined && performance.now() - this.stoppingSince > BalancerMilliseconds;
        return this.started !== undefined && !isLeaving;
    }

    /** Resolves when all disturbances have ended and the process runs again. */
    async waitUntilSettled(): Promise<void> {
        await this.disturbance;
    }

    /** Has no effect while the process is down. */
    kill(downMilliseconds: number): void {
        this.disturb(downMilliseconds, async started => {
            started.child.kill("SIGKILL");
            await started.ended;
        });
    }

    stop(downMilliseconds: number): void {
        this.disturb(downMilliseconds, async started => {
            this.stoppingSince = performance.now();
            started.child.kill("SIGTERM");
            const timer = setTimeout(() => started.child.kill("SIGKILL"), GraceMilliseconds);
            await started.ended;
            clearTimeout(timer);
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isDisposed = true;
        this.started?.child.kill("SIGKILL");
        await this.disturbance;
        await this.started?.ended;
    }

    private disturb(downMilliseconds: number, end: (started: processes.StartedProcess) => Promise<void>): void {
        const { started } = this;
        if (started === undefined) {
            return;
        }
        const previous = this.disturbance;
        this.disturbance = Promise.all([previous, this.endAndRestart(started, downMilliseconds, end)]).then(
            () => undefined,
        );
    }

    private async endAndRestart(
        started: processes.StartedProcess,
        downMilliseconds: number,
        end: (started: processes.StartedProcess) => Promise<void>,
    ): Promise<void> {
        await end(started);
        if (this.started !== started) {
            // Killed during a planned stop: the kill starts it again, or the stop already has.
            return;
        }
        this.started = undefined;
        this.stoppingSince = undefined;
        await timers.setTimeout(downMilliseconds);
        await this.start();
    }

    private async start(): Promise<void> {
        while (!this.isDisposed) {
            try {
                const { name } = this.options;
                const variables = { BORAGEDALE_SETTINGS: this.settingsFile };
                const started = await processes.startProcess(name, Program, ["gateway"], variables);
                this.keepLog(started);
                killAtExit(started);
                this.started = started;
                if (this.isDisposed) {
                    started.child.kill("SIGKILL");
                    await started.ended;
                }
                return;
            }
            catch (error) {
                console.error(`${this.options.name} did not start: ${String(error)}`);
                await timers.setTimeout(StartRetryMilliseconds);
            }
        }
    }

    private keepLog(started: processes.StartedProcess): void {
        const { logFolder, name } = this.options;
        if (logFolder === undefined) {
            started.child.stdout?.resume();
            return;
        }
        const file = fileSystem.createWriteStream(path.join(logFolder, `${name}.log`), { flags: "a" });
        started.child.stdout?.pipe(file);
    }
}

/** Ends the gateway also if this process ends by an error. */
function killAtExit(started: processes.StartedProcess): void {
    const kill = (): void => void started.child.kill("SIGKILL");
    process.once("exit", kill);
    void started.ended.then(() => process.off("exit", kill));
}

/** Chooses free ports of the loopback address. They are fixed, since a machine starts again at its addresses. */
async function chooseAddresses(count: number): Promise<readonly string[]> {
    const servers = [...new Array(count).keys()].map(() => net.createServer());
    const addresses: string[] = [];
    for (const server of servers) {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        addresses.push(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
    }
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return addresses;
}
