import * as backing from "@boragedale/backing";

export enum HoldPoint {
    /** The write has not reached the service. */
    BeforeEffect = "BeforeEffect",
    /** The write took effect, but its reply has not arrived. */
    BeforeReply = "BeforeReply",
}

/** Wraps the service for one instance. Can hold its next matching write, lose a reply, or pause all its calls. */
export class FaultyKeyValue extends backing.KeyValueService {
    private hold: { readonly point: HoldPoint; readonly prefix: string } | undefined;
    private breakPrefix: string | undefined;
    private isBroken = false;
    private releaseHold: (() => void) | undefined;
    /** Set while the process is paused: all calls of this instance wait for `resume`. */
    private paused: { readonly ended: Promise<void>; readonly end: () => void } | undefined;

    constructor(private readonly inner: backing.KeyValueService) {
        super();
    }

    holdNextWrite(prefix: string, point: HoldPoint): void {
        this.hold = { point, prefix };
    }

    /** Lets the next matching write take effect, loses its reply, and fails all reads and writes until `resume`. */
    breakAfterNextWrite(prefix: string): void {
        this.breakPrefix = prefix;
    }

    isHolding(): boolean {
        return this.releaseHold !== undefined;
    }

    release(): void {
        this.releaseHold?.();
        this.releaseHold = undefined;
    }

    pause(): void {
        if (this.paused === undefined) {
            let end: () => void = () => undefined;
            const ended = new Promise<void>(resolve => (end = resolve));
            this.paused = { ended, end };
        }
    }

    resume(): void {
        this.isBroken = false;
        this.breakPrefix = undefined;
        this.paused?.end();
        this.paused = undefined;
    }

    override async get(
        key: string,
        purpose: backing.CallPurpose,
    ): Promise<backing.KeyValueResult<backing.Entry | undefined>> {
        await this.paused?.ended;
        if (this.isBroken) {
            return createFailure(backing.KeyValueFailureKind.Unavailable);
        }
        const result = await this.inner.get(key, purpose);
        await this.paused?.ended;
        return result;
    }

    override async list(request: backing.ListRequest): Promise<backing.KeyValueResult<readonly backing.Entry[]>> {
        await this.paused?.ended;
        return this.inner.list(request);
    }

    override async compareAndSwap(request: backing.SwapRequest): Promise<backing.KeyValueResult<backing.SwapOutcome>> {
        await this.paused?.ended;
        if (this.isBroken) {
            return createFailure(backing.KeyValueFailureKind.Unavailable);
        }
        const hold = this.hold !== undefined && request.key.startsWith(this.hold.prefix) ? this.hold : undefined;
        if (hold !== undefined) {
            this.hold = undefined;
        }
        await this.holdAt(hold?.point, HoldPoint.BeforeEffect);
        const result = await this.inner.compareAndSwap(request);
        await this.holdAt(hold?.point, HoldPoint.BeforeReply);
        await this.paused?.ended;
        if (this.breakPrefix !== undefined && request.key.startsWith(this.breakPrefix)) {
            this.breakPrefix = undefined;
            this.isBroken = true;
            return createFailure(backing.KeyValueFailureKind.ReplyLost);
        }
        return result;
    }

    override grantLease(milliseconds: number): Promise<backing.KeyValueResult<backing.LeaseId>> {
        return this.inner.grantLease(milliseconds);
    }

    override keepLeaseAlive(lease: backing.LeaseId): Promise<backing.KeyValueResult<boolean>> {
        return this.inner.keepLeaseAlive(lease);
    }

    override revokeLease(lease: backing.LeaseId): Promise<backing.KeyValueResult<void>> {
        return this.inner.revokeLease(lease);
    }

    override async *watch(request: backing.WatchRequest): AsyncIterable<backing.WatchEvent> {
        for await (const event of this.inner.watch(request)) {
            await this.paused?.ended;
            yield event;
        }
    }

    private async holdAt(point: HoldPoint | undefined, here: HoldPoint): Promise<void> {
        if (point === here) {
            await new Promise<void>(resolve => (this.releaseHold = resolve));
        }
    }
}

function createFailure(kind: backing.KeyValueFailureKind): {
    readonly ok: false;
    readonly failure: backing.KeyValueFailure;
} {
    return { ok: false, failure: { kind, text: kind } };
}

/** Creates a function that wraps the service for each instance, and a map of the wrappers by instance. */
export function createFaultyWraps(): {
    readonly wraps: Map<string, FaultyKeyValue>;
    readonly wrap: (keyValue: backing.KeyValueService, instance: string) => backing.KeyValueService;
} {
    const wraps = new Map<string, FaultyKeyValue>();
    const wrap = (keyValue: backing.KeyValueService, instance: string): backing.KeyValueService => {
        const faulty = new FaultyKeyValue(keyValue);
        wraps.set(instance, faulty);
        return faulty;
    };
    return { wraps, wrap };
}
