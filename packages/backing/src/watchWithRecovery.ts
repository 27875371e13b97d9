import type * as core from "@boragedale/core";
import type * as services from "./services.js";
import * as types from "./types.js";

export interface RecoveringWatchOptions {
    readonly service: services.KeyValueService;
    readonly clock: core.Clock;
    readonly prefix: string;
    readonly purpose: types.CallPurpose;
    readonly signal: AbortSignal;
}

/** A change of an entry with the watched prefix. There are no gap events: missed changes are recovered. */
export type RecoveredEvent =
    | { readonly kind: types.WatchEventKind.Changed; readonly entry: types.Entry }
    | { readonly kind: types.WatchEventKind.Removed; readonly key: string; readonly revision: types.Revision };

const PageSize = 500;
const FirstRetryMilliseconds = 100;
const MaximumRetryMilliseconds = 5_000;

/**
 * Yields every entry with a prefix as `Changed`, and then every change until `signal` is aborted. If the service reports
 * missed changes, lists the prefix again and yields the difference, including removals, so that the reader's view becomes
 * correct whatever was missed. An entry is never followed by an older one of the same key, except that an entry removed
 * before the prefix is listed again may be yielded once more and removed again.
 */
export async function* watchWithRecovery(options: RecoveringWatchOptions): AsyncIterable<RecoveredEvent> {
    const knownRevisions = new Map<string, types.Revision>();
    yield* applyList(knownRevisions, await listAll(options));
    while (!options.signal.aborted) {
        const afterRevision = getNewestRevision(knownRevisions.values());
        const { prefix, signal } = options;
        for await (const event of options.service.watch({ prefix, afterRevision, signal })) {
            if (event.kind === types.WatchEventKind.Gap) {
                yield* applyList(knownRevisions, await listAll(options));
            }
            else if (applyEvent(knownRevisions, event)) {
                yield event;
            }
        }
        // A watch reconnects by itself. If it ends nevertheless, it is opened again after a wait.
        await options.clock.sleep(FirstRetryMilliseconds, options.signal);
    }
}

/** Lists the prefix, retrying until the service answers; returns undefined once `signal` is aborted. */
async function listAll(options: RecoveringWatchOptions): Promise<readonly types.Entry[] | undefined> {
    const entries: types.Entry[] = [];
    let wait = FirstRetryMilliseconds;
    while (!options.signal.aborted) {
        const { prefix, purpose } = options;
        const page = await options.service.list({ prefix, purpose, after: entries.at(-1)?.key, limit: PageSize });
        if (!page.ok) {
            await options.clock.sleep(Math.max(wait, page.failure.retryAfterMilliseconds ?? 0), options.signal);
            wait = Math.min(wait * 2, MaximumRetryMilliseconds);
            continue;
        }
        entries.push(...page.value);
        if (page.value.length < PageSize) {
            return entries;
        }
    }
    return undefined;
}

function* applyList(
    knownRevisions: Map<string, types.Revision>,
    entries: readonly types.Entry[] | undefined,
): Iterable<RecoveredEvent> {
    if (entries === undefined) {
        return;
    }
    const listed = new Set(entries.map(entry => entry.key));
    const newest = getNewestRevision(entries.map(entry => entry.revision));
    for (const [key, revision] of [...knownRevisions]) {
        if (!listed.has(key)) {
            knownRevisions.delete(key);
            yield { kind: types.WatchEventKind.Removed, key, revision: Math.max(revision, newest) };
        }
    }
    for (const entry of entries) {
        if (entry.revision > (knownRevisions.get(entry.key) ?? 0)) {
            knownRevisions.set(entry.key, entry.revision);
            yield { kind: types.WatchEventKind.Changed, entry };
        }
    }
}

/** Updates the known revisions; returns false for a change that the reader has already seen. */
function applyEvent(knownRevisions: Map<string, types.Revision>, event: RecoveredEvent): boolean {
    if (event.kind === types.WatchEventKind.Changed) {
        const { key, revision } = event.entry;
        const isNewer = revision > (knownRevisions.get(key) ?? 0);
        if (isNewer) {
            knownRevisions.set(key, revision);
        }
        return isNewer;
    }
    const revision = knownRevisions.get(event.key);
    const isNewer = revision !== undefined && event.revision > revision;
    return isNewer && knownRevisions.delete(event.key);
}

/** `Math.max(...revisions)` is not possible, since a prefix may have more entries than a call may have arguments. */
function getNewestRevision(revisions: Iterable<types.Revision>): types.Revision {
    let newest = 0;
    for (const revision of revisions) {
        newest = Math.max(newest, revision);
    }
    return newest;
}
