import * as net from "node:net";

/** Checks whether an upstream may still be running. Tests replace it. */
export type Probe = (address: string) => Promise<boolean>;

/** A running upstream accepts a connection within a few milliseconds; the rest allows for a full connection queue. */
const ProbeTimeoutMilliseconds = 300;
/** Error code of a connection to a machine that is reachable and on which no process listens. */
const RefusedCode = "ECONNREFUSED";

/**
 * Resolves to false if the upstream refuses connections, which proves that its process has ended. No answer is no proof: an
 * upstream may be silent for a second and go on, and a machine that is cut off or dark has not crashed on a request.
 */
export function probeUpstream(address: string, connect: typeof net.connect = net.connect): Promise<boolean> {
    const colon = address.lastIndexOf(":");
    return new Promise(resolve => {
        const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        const finish = (mayBeRunning: boolean): void => {
            socket.destroy();
            resolve(mayBeRunning);
        };
        socket.setTimeout(ProbeTimeoutMilliseconds, () => finish(true));
        socket.once("connect", () => finish(true));
        socket.once("error", (error: NodeJS.ErrnoException) => finish(error.code !== RefusedCode));
    });
}
