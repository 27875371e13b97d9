import * as platform from "@boragedale/platform";

export enum HoldPoint {
    /** The write has not reached the service. */
    BeforeEffect = "BeforeEffect",
    /** The write took effect; its reply is on the way. */
    BeforeReply = "BeforeReply",
}

/** Stands between one instance and the service: holds its next matching write until the test lets it go. */
export class FaultyKeyValue extends platform.KeyValueService {
    private hold: { readonly point: HoldPoint; readonly prefix: string } | undefined;
    private breakPrefix: string | undefined;
    private isBroken = false;
    private letGo: (() => void) | undefined;
    /** All calls of this instance hang until `resume`: the process is paused. */
    private paused: { readonly ended: Promise<void>; readonly end: () => void } | undefined;

    constructor(private readonly inner: platform.KeyValueService) {
        super();
    }

    holdNextWrite(prefix: string, point: HoldPoint): void {
        this.hold = { point, prefix };
    }

    /** The next write takes effect, its reply is lost, and nothing can be read or written until `resume`. */
    breakAfterNextWrite(prefix: string): void {
        this.breakPrefix = prefix;
    }

    isHolding(): boolean {
        return this.letGo !== undefined;
    }

    release(): void {
        this.letGo?.();
        this.letGo = undefined;
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
        purpose: platform.CallPurpose,
    ): Promise<platform.KeyValueResult<platform.Entry | undefined>> {
        await this.paused?.ended;
        if (this.isBroken) {
            return createFailure(platform.KeyValueFailureKind.Unavailable);
        }
        const result = await this.inner.get(key, purpose);
        await this.paused?.ended;
        return result;
    }

    override async list(request: platform.ListRequest): Promise<platform.KeyValueResult<readonly platform.Entry[]>> {
        await this.paused?.ended;
        return this.inner.list(request);
    }

    override async compareAndSwap(
        request: platform.SwapRequest,
    ): Promise<platform.KeyValueResult<platform.SwapOutcome>> {
        await this.paused?.ended;
        if (this.isBroken) {
            return createFailure(platform.KeyValueFailureKind.Unavailable);
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
            return createFailure(platform.KeyValueFailureKind.ReplyLost);
        }
        return result;
    }

    override grantLease(milliseconds: number): Promise<platform.KeyValueResult<platform.LeaseId>> {
        return this.inner.grantLease(milliseconds);
    }

    override keepLeaseAlive(lease: platform.LeaseId): Promise<platform.KeyValueResult<boolean>> {
        return this.inner.keepLeaseAlive(lease);
    }

    override revokeLease(lease: platform.LeaseId): Promise<platform.KeyValueResult<void>> {
        return this.inner.revokeLease(lease);
    }

    override async *watch(request: platform.WatchRequest): AsyncIterable<platform.WatchEvent> {
        for await (const event of this.inner.watch(request)) {
            await this.paused?.ended;
            yield event;
        }
    }

    private async holdAt(point: HoldPoint | undefined, here: HoldPoint): Promise<void> {
        if (point === here) {
            await new Promise<void>(resolve => (this.letGo = resolve));
        }
    }
}

function createFailure(kind: platform.KeyValueFailureKind): {
    readonly ok: false;
    readonly failure: platform.KeyValueFailure;
} {
    return { ok: false, failure: { kind, text: kind } };
}

/** Wraps the service for each instance of a fleet and remembers the wrappers by instance. */
export function createFaultyWraps(): {
    readonly wraps: Map<string, FaultyKeyValue>;
    readonly wrap: (keyValue: platform.KeyValueService, instance: string) => platform.KeyValueService;
} {
    const wraps = new Map<string, FaultyKeyValue>();
    const wrap = (keyValue: platform.KeyValueService, instance: string): platform.KeyValueService => {
        const faulty = new FaultyKeyValue(keyValue);
        wraps.set(instance, faulty);
        return faulty;
    };
    return { wraps, wrap };
}
