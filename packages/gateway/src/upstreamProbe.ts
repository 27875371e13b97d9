import * as net from "node:net";

/** Checks the state of an upstream by a new connection. Tests replace it. */
export type Probe = (address: string) => Promise<boolean>;

/** What a new connection shows of an upstream. */
enum ConnectionOutcome {
    Accepted = "Accepted",
    /** The machine is reachable, and no process listens there. */
    Refused = "Refused",
    /** No answer, or another error: the upstream may be silent for a moment, cut off or dark. */
    Unanswered = "Unanswered",
}

/** A running upstream accepts a connection within a few milliseconds; the rest allows for a full connection queue. */
const ProbeTimeoutMilliseconds = 300;
const RefusedCode = "ECONNREFUSED";

/**
 * Resolves to false if the upstream refuses connections, which proves that its process has ended. No answer is no proof: an
 * upstream may be silent for a second and go on, and a machine that is cut off or dark has not crashed on a request.
 */
export async function mayBeRunning(address: string, connect: typeof net.connect = net.connect): Promise<boolean> {
    return (await tryConnect(address, connect)) !== ConnectionOutcome.Refused;
}

/** Resolves to whether the upstream accepts connections now. */
export async function acceptsConnections(address: string): Promise<boolean> {
    return (await tryConnect(address, net.connect)) === ConnectionOutcome.Accepted;
}

function tryConnect(address: string, connect: typeof net.connect): Promise<ConnectionOutcome> {
    const colon = address.lastIndexOf(":");
    return new Promise(resolve => {
        const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        const finish = (outcome: ConnectionOutcome): void => {
            socket.destroy();
            resolve(outcome);
        };
        socket.setTimeout(ProbeTimeoutMilliseconds, () => finish(ConnectionOutcome.Unanswered));
        socket.once("connect", () => finish(ConnectionOutcome.Accepted));
        socket.once("error", (error: NodeJS.ErrnoException) =>
            finish(error.code === RefusedCode ? ConnectionOutcome.Refused : ConnectionOutcome.Unanswered),
        );
    });
}
