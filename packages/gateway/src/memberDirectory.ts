import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import type * as types from "./types.js";

/** Keys of this program in the metadata store. */
export const FleetPrefix = "boragedale/fleet/";
export const MemberPrefix = `${FleetPrefix}member/`;
export const EndedPrefix = `${FleetPrefix}ended/`;

const LifeSeparator = "~";

/** One life of an instance; a restart is another member. */
export interface Member {
    readonly id: core.InstanceId;
    readonly dataCentre: core.DataCentre;
    /** IP address and port of the peer face. */
    readonly peerAddress: string;
}

const MemberSchema = zod.object({ id: zod.string(), dataCentre: zod.string(), peerAddress: zod.string() });

export function encodeMember(member: Member): Uint8Array {
    return msgpackr.pack(member);
}

/** The live members as the metadata store lists them: entries that vanish with their lease. Pure. */
export class MemberDirectory {
    private readonly members = new Map<core.InstanceId, Member>();
    private readonly revisions = new Map<string, types.Revision>();
    private readonly listeners = new Set<(gone: readonly core.InstanceId[]) => void>();

    constructor(readonly self: Member) {}

    getMembers(): readonly Member[] {
        return [...this.members.values()];
    }

    getOthers(): readonly Member[] {
        return this.getMembers().filter(member => member.id !== this.self.id);
    }

    /** Instances other than this one that are listed; one that was restarted may stand with several lives. */
    countOtherInstances(): number {
        const names = new Set(this.getMembers().map(member => getInstanceName(member.id)));
        names.delete(getInstanceName(this.self.id));
        return names.size;
    }

    tryGet(id: core.InstanceId): Member | undefined {
        return this.members.get(id);
    }

    /** Whether this member's own entry stands; without it others may take its submissions over. */
    isListed(): boolean {
        return this.members.has(this.self.id);
    }

    /** The member that takes over what a gone one owned: all work the same answer out. */
    chooseHeir(submission: string): core.InstanceId | undefined {
        return decisions.rendezvous(
            submission,
            this.getMembers().map(member => member.id),
        );
    }

    /** Whether another life of a member's instance is listed: one that is listed no longer has then ended, whatever became of its lease. */
    hasOtherLife(id: core.InstanceId): boolean {
        const instance = getInstanceName(id);
        return this.getMembers().some(member => member.id !== id && getInstanceName(member.id) === instance);
    }

    /** The life of each instance that was listed last, by the store's revisions; all members work the same answer out. */
    getCurrentLives(): readonly core.InstanceId[] {
        const lives = new Map<string, core.InstanceId>();
        for (const { id } of this.getMembers()) {
            const instance = getInstanceName(id);
            const other = lives.get(instance);
            if (other === undefined || this.getRevision(id) > this.getRevision(other)) {
                lives.set(instance, id);
            }
        }
        return [...lives.values()];
    }

    /** Former lives of this member's instance that are still listed. */
    getFormerLives(): readonly core.InstanceId[] {
        const instance = getInstanceName(this.self.id);
        return this.getOthers()
            .map(member => member.id)
            .filter(id => getInstanceName(id) === instance);
    }

    onChange(listener: (gone: readonly core.InstanceId[]) => void): void {
        this.listeners.add(listener);
    }

    apply(entries: readonly types.StoreEntry[]): void {
        const gone: core.InstanceId[] = [];
        let hasChanged = false;
        for (const entry of entries) {
            if (!entry.key.startsWith(MemberPrefix) || (this.revisions.get(entry.key) ?? 0) >= entry.revision) {
                continue;
            }
            this.revisions.set(entry.key, entry.revision);
            const id = entry.key.slice(MemberPrefix.length);
            const member = entry.value === undefined ? undefined : tryDecodeMember(entry.value);
            hasChanged = true;
            if (member !== undefined) {
                this.members.set(id, member);
            }
            else if (this.members.delete(id)) {
                gone.push(id);
            }
        }
        if (hasChanged) {
            this.listeners.forEach(listener => listener(gone));
        }
    }

    private getRevision(id: core.InstanceId): types.Revision {
        return this.revisions.get(MemberPrefix + id) ?? 0;
    }
}

/** Names one life of an instance: a restart is another member. */
export function createMemberId(instance: string, nonce: string): core.InstanceId {
    return `${instance}${LifeSeparator}${nonce}`;
}

function getInstanceName(id: core.InstanceId): string {
    return id.slice(0, Math.max(0, id.lastIndexOf(LifeSeparator)));
}

function tryDecodeMember(value: Uint8Array): Member | undefined {
    try {
        const parsed = MemberSchema.safeParse(msgpackr.unpack(value));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // Bytes of another program under our prefix name no member.
        return undefined;
    }
}
