import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as zod from "zod";
import * as noteStore from "./noteStore.js";

/**
 * Claims of upstreams that are being changed. They are stored under the key of the note in force, so that one watch
 * covers both. Coordinators synchronise through claims only: a claim counts against the weight store's load limit and
 * the models' floors, its revision is the fencing number of the order, and its lease removes it when its coordinator
 * fails.
 */
export const ClaimPrefix = `${noteStore.CurrentNoteKey}/claims/`;

/** Limit of one list of claims; more than the weight store's load limit ever admits at once. */
export const MaximumClaims = 2_000;

/**
 * A lease outlasts the takeover of a failed coordinator's upstream (10 s of suspicion and one read of the list) and a
 * pause of 30 s. With a shorter lease the claim of an upstream that still loads could expire, and too many loads would
 * run.
 */
const LeaseMilliseconds = 45_000;
const KeepAliveIntervalMilliseconds = 10_000;
/** A lease counts as expired this long before its end, since the clocks of the service and the instance drift apart. */
const LeaseMarginMilliseconds = 5_000;

const ClaimSchema = zod.object({
    upstream: zod.string(),
    instance: zod.string(),
    generation: zod.int(),
    needsLoad: zod.boolean(),
    /** The revision at which the first claim was written; absent in the first claim itself. */
    order: zod.number().optional(),
    nonce: zod.string(),
});

export interface Claim {
    readonly upstream: core.UpstreamId;
    readonly instance: core.InstanceId;
    /** Generation of the note that the coordinator was rolling out. */
    readonly generation: core.Generation;
    /** Whether the change reads from the weight store. */
    readonly needsLoad: boolean;
    /** Position among the claims: earlier claims take precedence. A takeover keeps the position. */
    readonly order: number;
    /** Revision of the last write; the fencing number of an order under this claim. */
    readonly revision: backing.Revision;
}

export interface ClaimRequest {
    readonly upstream: core.UpstreamId;
    readonly generation: core.Generation;
    readonly needsLoad: boolean;
    /** The claim to replace: this instance's own, or that of a previous coordinator. */
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

/**
 * Reads and writes the claims of one instance. All of them share one lease, which is kept alive while the instance
 * holds a claim.
 */
export class ClaimStore implements AsyncDisposable {
    private lease: backing.LeaseId | undefined;
    private leaseValidUntil: core.MonotonicMilliseconds = 0;
    /** Upstreams whose claims depend on the lease. Without any the lease may expire, since renewals count as calls. */
    private readonly claimedUpstreams = new Set<core.UpstreamId>();
    private pendingGrant: Promise<backing.LeaseId | undefined> | undefined;
    private readonly abortController = new AbortController();
    private readonly keepAliveTask: Promise<void>;

    constructor(
        private readonly keyValue: backing.KeyValueService,
        private readonly clock: core.Clock,
        private readonly instance: core.InstanceId,
    ) {
        this.keepAliveTask = this.runKeepAlive();
    }

    /** Lists all claims of the fleet; returns undefined when the service does not answer. */
    async tryList(): Promise<readonly Claim[] | undefined> {
        const result = await this.keyValue.list({
            prefix: ClaimPrefix,
            limit: MaximumClaims,
            purpose: backing.CallPurpose.Claim,
        });
        return result.ok ? result.value.flatMap(entry => tryDecodeClaim(entry) ?? []) : undefined;
    }

    /** Writes a claim; returns undefined when another coordinator wrote first or the service does not answer. */
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
        this.claimedUpstreams.add(upstream);
        if (result.ok) {
            return result.value.swapped ? createClaim(stored, result.value.revision) : undefined;
        }
        return result.failure.kind === backing.KeyValueFailureKind.ReplyLost ? this.readBack(key, nonce) : undefined;
    }

    /**
     * Removes a claim, unless another coordinator has taken it over meanwhile. Returns whether the service answered.
     */
    async remove(claim: Claim): Promise<boolean> {
        const result = await this.keyValue.compareAndSwap({
            key: ClaimPrefix + claim.upstream,
            expectedRevision: claim.revision,
            value: undefined,
            purpose: backing.CallPurpose.Claim,
        });
        if (result.ok) {
            this.stopTracking(claim.upstream);
        }
        return result.ok;
    }

    /** Stops renewing the lease on behalf of the upstream's claim. The claim itself stays in the key-value service. */
    stopTracking(upstream: core.UpstreamId): void {
        this.claimedUpstreams.delete(upstream);
    }

    /** Whether the lease, and with it this instance's claims, is still valid by the local clock. */
    isLeaseValid(): boolean {
        return this.lease !== undefined && this.clock.now() < this.leaseValidUntil;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.abortController.abort();
        await this.keepAliveTask;
    }

    /**
     * Reads the claim back after a lost reply; the nonce shows whether the stored entry is the one that was written.
     */
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
        this.pendingGrant ??= this.requestLease().finally(() => {
            this.pendingGrant = undefined;
        });
        return this.pendingGrant;
    }

    private async requestLease(): Promise<backing.LeaseId | undefined> {
        const requestedAt = this.clock.now();
        const result = await this.keyValue.grantLease(LeaseMilliseconds);
        this.lease = result.ok ? result.value : undefined;
        this.leaseValidUntil = requestedAt + LeaseMilliseconds - LeaseMarginMilliseconds;
        return this.lease;
    }

    private async runKeepAlive(): Promise<void> {
        const signal = this.abortController.signal;
        while (!signal.aborted) {
            await this.clock.sleep(KeepAliveIntervalMilliseconds, signal);
            if (this.lease !== undefined && this.claimedUpstreams.size > 0 && !signal.aborted) {
                await this.keepAlive(this.lease);
            }
        }
    }

    private async keepAlive(lease: backing.LeaseId): Promise<void> {
        const requestedAt = this.clock.now();
        const result = await this.keyValue.keepLeaseAlive(lease);
        if (result.ok && result.value) {
            this.leaseValidUntil = requestedAt + LeaseMilliseconds - LeaseMarginMilliseconds;
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
