import * as net from "node:net";

/** Forwards connections to an upstream, and lets all of them fall silent for a time. */
export interface SilentProxy extends AsyncDisposable {
    readonly address: string;
    /** For this time nothing is sent or read on any connection, and new connections are accepted but not served. */
    readonly silence: (milliseconds: number) => void;
}

interface Pair {
    readonly near: net.Socket;
    readonly far: net.Socket;
}

const BetweenSilencesMilliseconds = 500;

export async function startProxy(target: string): Promise<SilentProxy> {
    const pairs = new Set<Pair>();
    const colon = target.lastIndexOf(":");
    let isSilent = false;
    let nextSilenceAt = 0;
    const join = ({ near, far }: Pair): void => {
        near.pipe(far);
        far.pipe(near);
    };
    const separate = ({ near, far }: Pair): void => {
        near.unpipe(far).pause();
        far.unpipe(near).pause();
    };
    const server = net.createServer({ pauseOnConnect: true, noDelay: true }, near => {
        const far = net.connect({ host: target.slice(0, colon), port: Number(target.slice(colon + 1)), noDelay: true });
        const pair = { near, far };
        pairs.add(pair);
        const destroy = (): void => {
            near.destroy();
            far.destroy();
        };
        const forget = (): void => {
            if (near.destroyed && far.destroyed) {
                pairs.delete(pair);
            }
        };
        // A regular end passes through the pipes, after the data before it.
        [near, far].forEach(socket => socket.on("error", destroy).once("close", forget));
        if (!isSilent) {
            join(pair);
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const silence = (milliseconds: number): void => {
        // Two silences in a row would be one that is too long for a sound upstream.
        if (isSilent || performance.now() < nextSilenceAt) {
            return;
        }
        isSilent = true;
        nextSilenceAt = performance.now() + milliseconds + BetweenSilencesMilliseconds;
        pairs.forEach(separate);
        setTimeout(() => {
            isSilent = false;
            pairs.forEach(join);
        }, milliseconds);
    };
    return {
        address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
        silence,
        [Symbol.asyncDispose]: async () => {
            const closed = new Promise<void>(resolve => server.close(() => resolve()));
            pairs.forEach(({ near, far }) => [near, far].forEach(socket => socket.destroy()));
            await closed;
        },
    };
}
