import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import type * as types from "./types.js";

/** Key prefixes of this program in the metadata store. */
export const FleetPrefix = "boragedale/fleet/";
export const MemberPrefix = `${FleetPrefix}member/`;
export const EndedPrefix = `${FleetPrefix}ended/`;

const IncarnationSeparator = "~";

/** One incarnation of an instance. A restart creates another member. */
export interface Member {
    readonly id: core.InstanceId;
    readonly dataCentre: core.DataCentre;
    /** IP address and port of the peer listener. */
    readonly peerAddress: string;
}

const MemberSchema = zod.object({ id: zod.string(), dataCentre: zod.string(), peerAddress: zod.string() });

export function encodeMember(member: Member): Uint8Array {
    return msgpackr.pack(member);
}

/** The live members as listed by the metadata store. Their entries are removed when their leases end. Pure. */
export class MemberDirectory {
    private readonly members = new Map<core.InstanceId, Member>();
    private readonly revisions = new Map<string, types.Revision>();
    private readonly listeners = new Set<(removed: readonly core.InstanceId[]) => void>();
    /** The results of `getMembers` and `getOthers`, computed on first use after a change: each request asks for them. */
    private all: readonly Member[] | undefined;
    private others: readonly Member[] | undefined;

    constructor(readonly self: Member) {}

    /** Returns the same list until a member is added, replaced or removed. */
    getMembers(): readonly Member[] {
        this.all ??= [...this.members.values()];
        return this.all;
    }

    /** Returns the same list until a member is added, replaced or removed. */
    getOthers(): readonly Member[] {
        this.others ??= this.getMembers().filter(member => member.id !== this.self.id);
        return this.others;
    }

    /** Number of listed instances other than this one. A restarted instance may be listed with several incarnations. */
    countOtherInstances(): number {
        const names = new Set(this.getMembers().map(member => getInstanceName(member.id)));
        names.delete(getInstanceName(this.self.id));
        return names.size;
    }

    tryGet(id: core.InstanceId): Member | undefined {
        return this.members.get(id);
    }

    /** Whether this member's own entry is listed. Without it, other members may take over its submissions. */
    isListed(): boolean {
        return this.members.has(this.self.id);
    }

    /** The member that takes over a submission of a removed one. All members compute the same result. */
    chooseSuccessor(submission: string): core.InstanceId | undefined {
        return decisions.rendezvous(
            submission,
            this.getMembers().map(member => member.id),
        );
    }

    /**
     * Whether another incarnation of the member's instance is listed. If so, a member that is no longer listed has
     * ended, whatever the state of its lease.
     */
    hasOtherIncarnation(id: core.InstanceId): boolean {
        const instance = getInstanceName(id);
        return this.getMembers().some(member => member.id !== id && getInstanceName(member.id) === instance);
    }

    /**
     * The incarnation of each instance that was listed last, by store revision. All members compute the same result.
     */
    getCurrentIncarnations(): readonly core.InstanceId[] {
        const incarnations = new Map<string, core.InstanceId>();
        for (const { id } of this.getMembers()) {
            const instance = getInstanceName(id);
            const other = incarnations.get(instance);
            if (other === undefined || this.getRevision(id) > this.getRevision(other)) {
                incarnations.set(instance, id);
            }
        }
        return [...incarnations.values()];
    }

    /** Previous incarnations of this member's instance that are still listed. */
    getPreviousIncarnations(): readonly core.InstanceId[] {
        const instance = getInstanceName(this.self.id);
        return this.getOthers()
            .map(member => member.id)
            .filter(id => getInstanceName(id) === instance);
    }

    onChange(listener: (removed: readonly core.InstanceId[]) => void): void {
        this.listeners.add(listener);
    }

    apply(entries: readonly types.StoreEntry[]): void {
        const removed: core.InstanceId[] = [];
        let hasChanged = false;
        for (const entry of entries) {
            if (!entry.key.startsWith(MemberPrefix) || (this.revisions.get(entry.key) ?? 0) >= entry.revision) {
                continue;
            }
            this.revisions.set(entry.key, entry.revision);
            const id = entry.key.slice(MemberPrefix.length);
            const member = entry.value === undefined ? undefined : tryDecodeMember(entry.value);
            hasChanged = true;
            this.all = undefined;
            this.others = undefined;
            if (member !== undefined) {
                this.members.set(id, member);
            }
            else if (this.members.delete(id)) {
                removed.push(id);
            }
        }
        if (hasChanged) {
            this.listeners.forEach(listener => listener(removed));
        }
    }

    private getRevision(id: core.InstanceId): types.Revision {
        return this.revisions.get(MemberPrefix + id) ?? 0;
    }
}

/** Creates the id of one incarnation of an instance. */
export function createMemberId(instance: string, nonce: string): core.InstanceId {
    return `${instance}${IncarnationSeparator}${nonce}`;
}

function getInstanceName(id: core.InstanceId): string {
    return id.slice(0, Math.max(0, id.lastIndexOf(IncarnationSeparator)));
}

function tryDecodeMember(value: Uint8Array): Member | undefined {
    try {
        const parsed = MemberSchema.safeParse(msgpackr.unpack(value));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // Bytes that another program wrote under this prefix do not describe a member.
        return undefined;
    }
}
