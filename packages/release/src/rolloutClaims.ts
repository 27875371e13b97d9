import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as zod from "zod";
import * as noteStore from "./noteStore.js";

/**
 * Claims of upstreams that are being changed, kept in the key-value service beside the note, so that one watch tells
 * an instance of both. A claim is the one place where homes agree: it counts against the weight store's rate and
 * against the floors, its revision is the fencing number of the order, and its lease frees it when its home is gone.
 */
export const ClaimPrefix = `${noteStore.CurrentNoteKey}/claims/`;

/** More than the weight store's rate would ever let run at once. */
export const MostClaims = 2_000;

/**
 * A lease outlives the takeover of a dead home's upstream (10 s of suspicion and a reading of the list) and a pause of
 * 30 s. Were it shorter, the claim of an upstream that still loads would lapse and the rate would be overrun.
 */
const LeaseMilliseconds = 45_000;
const KeepAliveMilliseconds = 10_000;
/** A lease is not relied on in its last seconds: the service's clock and ours run apart. */
const LeaseMarginMilliseconds = 5_000;

const ClaimSchema = zod.object({
    upstream: zod.string(),
    instance: zod.string(),
    generation: zod.int(),
    needsLoad: zod.boolean(),
    /** The revision that the first claim was written at; absent in that first one. */
    order: zod.number().optional(),
    nonce: zod.string(),
});

export interface Claim {
    readonly upstream: core.UpstreamId;
    readonly instance: core.InstanceId;
    /** Generation of the note that its home worked on. */
    readonly generation: core.Generation;
    /** Whether the change reads from the weight store. */
    readonly needsLoad: boolean;
    /** Earlier claims go first; a takeover keeps the place. */
    readonly order: number;
    /** Revision of the last write, which is the fencing number of an order under this claim. */
    readonly revision: backing.Revision;
}

export interface ClaimRequest {
    readonly upstream: core.UpstreamId;
    readonly generation: core.Generation;
    readonly needsLoad: boolean;
    /** The claim to replace, this instance's own or that of a home that is gone. */
    readonly replaces: Claim | undefined;
}

export function tryDecodeClaim(entry: backing.Entry): Claim | undefined {
    try {
        const text = Buffer.from(entry.value).toString("utf8");
        const { order, ...stored } = ClaimSchema.parse(JSON.parse(text));
        return { ...stored, order: order ?? entry.revision, revision: entry.revision };
    }
    catch {
        return undefined;
    }
}

/** Writes and reads claims for one instance, under one lease that it keeps alive while it holds any. */
export class ClaimStore implements AsyncDisposable {
    private lease: backing.LeaseId | undefined;
    private leaseValidUntil: core.MonotonicMilliseconds = 0;
    /** Upstreams whose claims rest on the lease; without any it is let lapse, since renewals count as calls. */
    private readonly held = new Set<core.UpstreamId>();
    private granting: Promise<backing.LeaseId | undefined> | undefined;
    private readonly stopper = new AbortController();
    private readonly task: Promise<void>;

    constructor(
        private readonly keyValue: backing.KeyValueService,
        private readonly clock: core.Clock,
        private readonly instance: core.InstanceId,
    ) {
        this.task = this.runKeepAlive();
    }

    /** All claims of the fleet, or undefined when the service does not answer. */
    async tryList(): Promise<readonly Claim[] | undefined> {
        const result = await this.keyValue.list({
            prefix: ClaimPrefix,
            limit: MostClaims,
            purpose: backing.CallPurpose.Claim,
        });
        return result.ok ? result.value.flatMap(entry => tryDecodeClaim(entry) ?? []) : undefined;
    }

    /** Writes a claim; undefined when another home was first or the service does not answer. */
    async tryWrite(request: ClaimRequest): Promise<Claim | undefined> {
        const lease = await this.tryGetLease();
        if (lease === undefined) {
            return undefined;
        }
        const nonce = crypto.randomUUID();
        const { upstream, generation, needsLoad, replaces } = request;
        const order = replaces?.order;
        const stored = { upstream, instance: this.instance, generation, needsLoad, order, nonce };
        const key = ClaimPrefix + upstream;
        const result = await this.keyValue.compareAndSwap({
            key,
            expectedRevision: replaces?.revision ?? 0,
            value: Buffer.from(JSON.stringify(stored)),
            lease,
            purpose: backing.CallPurpose.Claim,
        });
        this.held.add(upstream);
        if (result.ok) {
            return result.value.swapped ? createClaim(stored, result.value.revision) : undefined;
        }
        return result.failure.kind === backing.KeyValueFailureKind.ReplyLost ? this.readBack(key, nonce) : undefined;
    }

    /** Removes a claim; one that another home took over meanwhile stays. */
    async remove(claim: Claim): Promise<boolean> {
        const result = await this.keyValue.compareAndSwap({
            key: ClaimPrefix + claim.upstream,
            expectedRevision: claim.revision,
            value: undefined,
            purpose: backing.CallPurpose.Claim,
        });
        if (result.ok) {
            this.forget(claim.upstream);
        }
        return result.ok;
    }

    /** Leaves a claim to the next home: it no longer keeps the lease alive. */
    forget(upstream: core.UpstreamId): void {
        this.held.delete(upstream);
    }

    /** Whether this instance's claims surely still stand, as far as a clock can tell. */
    isLeaseValid(): boolean {
        return this.lease !== undefined && this.clock.now() < this.leaseValidUntil;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        await this.task;
    }

    /** The reply was lost: the nonce tells whether the entry that stands now is the one that was written. */
    private async readBack(key: string, nonce: string): Promise<Claim | undefined> {
        const result = await this.keyValue.get(key, backing.CallPurpose.Claim);
        if (!result.ok || result.value === undefined) {
            return undefined;
        }
        const isOwn = Buffer.from(result.value.value).toString("utf8").includes(nonce);
        return isOwn ? tryDecodeClaim(result.value) : undefined;
    }

    private async tryGetLease(): Promise<backing.LeaseId | undefined> {
        if (this.isLeaseValid()) {
            return this.lease;
        }
        this.granting ??= this.grant().finally(() => {
            this.granting = undefined;
        });
        return this.granting;
    }

    private async grant(): Promise<backing.LeaseId | undefined> {
        const askedAt = this.clock.now();
        const result = await this.keyValue.grantLease(LeaseMilliseconds);
        this.lease = result.ok ? result.value : undefined;
        this.leaseValidUntil = askedAt + LeaseMilliseconds - LeaseMarginMilliseconds;
        return this.lease;
    }

    private async runKeepAlive(): Promise<void> {
        const signal = this.stopper.signal;
        while (!signal.aborted) {
            await this.clock.sleep(KeepAliveMilliseconds, signal);
            if (this.lease !== undefined && this.held.size > 0 && !signal.aborted) {
                await this.keepAlive(this.lease);
            }
        }
    }

    private async keepAlive(lease: backing.LeaseId): Promise<void> {
        const askedAt = this.clock.now();
        const result = await this.keyValue.keepLeaseAlive(lease);
        if (result.ok && result.value) {
            this.leaseValidUntil = askedAt + LeaseMilliseconds - LeaseMarginMilliseconds;
        }
        else if (result.ok) {
            this.lease = undefined;
        }
    }
}

function createClaim(stored: zod.output<typeof ClaimSchema>, revision: backing.Revision): Claim {
    const { upstream, instance, generation, needsLoad, order } = stored;
    return { upstream, instance, generation, needsLoad, order: order ?? revision, revision };
}
