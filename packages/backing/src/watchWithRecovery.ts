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

/** A change below a prefix; gaps have been filled already. */
export type RecoveredEvent =
    | { readonly kind: types.WatchEventKind.Changed; readonly entry: types.Entry }
    | { readonly kind: types.WatchEventKind.Removed; readonly key: string; readonly revision: types.Revision };

const PageSize = 500;
const FirstWaitMilliseconds = 100;
const LongestWaitMilliseconds = 5_000;

/**
 * Yields every entry below a prefix as `Changed`, and then every change until `signal` is aborted. Where the service
 * lost track of changes the prefix is read again and the difference is yielded, removals included, so the reader's
 * view ends up right whatever was missed. An entry is never followed by an older one of the same key, except that one
 * removed before a re-read may show up once more and be removed again.
 */
export async function* watchWithRecovery(options: RecoveringWatchOptions): AsyncIterable<RecoveredEvent> {
    const known = new Map<string, types.Revision>();
    yield* applyList(known, await listAll(options));
    while (!options.signal.aborted) {
        const afterRevision = getNewest(known.values());
        const { prefix, signal } = options;
        for await (const event of options.service.watch({ prefix, afterRevision, signal })) {
            if (event.kind === types.WatchEventKind.Gap) {
                yield* applyList(known, await listAll(options));
            }
            else if (applyEvent(known, event)) {
                yield event;
            }
        }
        // A service's watch goes on by itself; one that ended all the same is opened again, not at once.
        await options.clock.sleep(FirstWaitMilliseconds, options.signal);
    }
}

/** Reads the prefix, however long the service is away; undefined once `signal` is aborted. */
async function listAll(options: RecoveringWatchOptions): Promise<readonly types.Entry[] | undefined> {
    const entries: types.Entry[] = [];
    let wait = FirstWaitMilliseconds;
    while (!options.signal.aborted) {
        const { prefix, purpose } = options;
        const page = await options.service.list({ prefix, purpose, after: entries.at(-1)?.key, limit: PageSize });
        if (!page.ok) {
            await options.clock.sleep(Math.max(wait, page.failure.retryAfterMilliseconds ?? 0), options.signal);
            wait = Math.min(wait * 2, LongestWaitMilliseconds);
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
    known: Map<string, types.Revision>,
    entries: readonly types.Entry[] | undefined,
): Iterable<RecoveredEvent> {
    if (entries === undefined) {
        return;
    }
    const listed = new Set(entries.map(entry => entry.key));
    const newest = getNewest(entries.map(entry => entry.revision));
    for (const [key, revision] of [...known]) {
        if (!listed.has(key)) {
            known.delete(key);
            yield { kind: types.WatchEventKind.Removed, key, revision: Math.max(revision, newest) };
        }
    }
    for (const entry of entries) {
        if (entry.revision > (known.get(entry.key) ?? 0)) {
            known.set(entry.key, entry.revision);
            yield { kind: types.WatchEventKind.Changed, entry };
        }
    }
}

/** Returns false for a change that the reader has already seen. */
function applyEvent(known: Map<string, types.Revision>, event: RecoveredEvent): boolean {
    if (event.kind === types.WatchEventKind.Changed) {
        const { key, revision } = event.entry;
        const isNews = revision > (known.get(key) ?? 0);
        if (isNews) {
            known.set(key, revision);
        }
        return isNews;
    }
    const revision = known.get(event.key);
    const isNews = revision !== undefined && event.revision > revision;
    return isNews && known.delete(event.key);
}

/** A prefix may hold more entries than a call may have arguments, so `Math.max` can't take them all. */
function getNewest(revisions: Iterable<types.Revision>): types.Revision {
    let newest = 0;
    for (const revision of revisions) {
        newest = Math.max(newest, revision);
    }
    return newest;
}
