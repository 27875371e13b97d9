import type * as ledgerDecision from "./ledgerDecision.js";
import * as types from "./types.js";

/**
 * The unsealed calls of a shard. Changes are collected in a draft until they are committed; if the commit fails, the
 * draft is discarded and the table is unchanged.
 */
export class CallTable {
    private readonly calls = new Map<string, types.CallRecord>();

    constructor(calls: Iterable<types.CallRecord>) {
        for (const call of calls) {
            this.calls.set(getCallName(call), call);
        }
    }

    tryGet(identity: types.CallIdentity): types.CallRecord | undefined {
        return this.calls.get(getCallName(identity));
    }

    getAll(): Iterable<types.CallRecord> {
        return this.calls.values();
    }

    getCount(): number {
        return this.calls.size;
    }

    createDraft(sealed: ReadonlyMap<string, types.CallRecord>): CallDraft {
        return new CallDraft(this.calls, sealed);
    }
}

export class CallDraft implements ledgerDecision.CallTable {
    private readonly changed = new Map<string, types.CallRecord | undefined>();

    constructor(
        private readonly calls: ReadonlyMap<string, types.CallRecord>,
        private readonly sealed: ReadonlyMap<string, types.CallRecord>,
    ) {}

    tryGet(identity: types.CallIdentity): types.CallRecord | undefined {
        const name = getCallName(identity);
        return this.changed.has(name) ? this.changed.get(name) : (this.calls.get(name) ?? this.sealed.get(name));
    }

    put(record: types.CallRecord): void {
        this.changed.set(getCallName(record), record);
    }

    remove(identity: types.CallIdentity): void {
        this.changed.set(getCallName(identity), undefined);
    }

    *getUnfinished(): Iterable<types.CallRecord> {
        for (const call of this.getAll()) {
            if (call.state !== types.CallState.Finished) {
                yield call;
            }
        }
    }

    hasChanges(): boolean {
        return this.changed.size > 0;
    }

    /** Iterates over the unsealed calls as they will be once this draft is committed. */
    *getAll(): Iterable<types.CallRecord> {
        for (const [name, call] of this.calls) {
            if (!this.changed.has(name)) {
                yield call;
            }
        }
        for (const call of this.changed.values()) {
            if (call !== undefined) {
                yield call;
            }
        }
    }
}

/** Returns a name that is unique for each pair of caller and key. */
export function getCallName(identity: types.CallIdentity): string {
    return `${encodeURIComponent(identity.caller)}/${identity.key}`;
}
