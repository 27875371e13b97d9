import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as channelDirectory from "./channelDirectory.js";
import type * as crashWatch from "./crashWatch.js";
import * as requestProgress from "./requestProgress.js";
import type * as slotSharing from "./slotSharing.js";
import type * as types from "./types.js";
import * as upstreamChooser from "./upstreamChooser.js";

/** Dependencies of `FallbackSearch`. */
export interface FallbackSearchParts {
    readonly chooser: upstreamChooser.UpstreamChooser;
    readonly channels: channelDirectory.Channels;
    readonly slots: slotSharing.SlotSharing;
    readonly crashWatch: crashWatch.CrashWatch;
    readonly clock: core.Clock;
}

/** Where a request can go on that waits for a silent upstream, or why nowhere. */
export type Fallback =
    { readonly fallback: requestProgress.Placement } | { readonly fallback: undefined; readonly reason: string };

/**
 * Unreachable upstreams after which the search for another one pauses. Each may take 300 ms, and the caller of a stream
 * abandons it half a second after the search began or later.
 */
const MaximumUnreachableFallbacks = 2;

/**
 * Finds where a request goes on whose upstream is silent. The upstream may be sound and go on in a moment, so the attempt
 * is ended only when this has found another one.
 */
export class FallbackSearch {
    constructor(private readonly parts: FallbackSearchParts) {}

    /** Finds an upstream that can take over from a silent one at once. Looks no further when the attempt is no longer silent. */
    async find(
        progress: requestProgress.Progress,
        silent: types.UpstreamEntry,
        isSilent: () => boolean,
    ): Promise<Fallback> {
        const { chooser, channels, crashWatch, slots, clock } = this.parts;
        const unreachable = new Set<core.UpstreamId>();
        for (;;) {
            if (!requestProgress.mayRepeat(progress, decisions.AttemptEnd.MayHaveRun, clock.now())) {
                return { fallback: undefined, reason: "may not be sent again" };
            }
            const outcome = await chooser.find(progress, { mustStartSoon: true, isWanted: isSilent });
            if (outcome.kind === upstreamChooser.PlacementOutcomeKind.Refused) {
                return { fallback: undefined, reason: `${outcome.reason}: ${outcome.detail}` };
            }
            if (outcome.kind === upstreamChooser.PlacementOutcomeKind.Unwanted) {
                return { fallback: undefined, reason: "the request has ended" };
            }
            const { placement } = outcome;
            const { upstream } = placement;
            // The other connections to the silent upstream may be as dead as the one in use.
            const isConnected = upstream.id !== silent.id && channels.hasIdleConnection(upstream);
            if (isConnected || (await crashWatch.acceptsConnections(upstream))) {
                const current = chooser.tryGetCurrent(progress, upstream);
                if (current !== undefined) {
                    return { fallback: { ...placement, upstream: current } };
                }
            }
            chooser.returnSlot(placement);
            slots.slotTable.penalize(upstream.id, clock.now() + upstreamChooser.UnreachablePenaltyMilliseconds);
            if (!isSilent() || unreachable.has(upstream.id) || unreachable.size >= MaximumUnreachableFallbacks) {
                return { fallback: undefined, reason: `${upstream.id} accepts no connection` };
            }
            unreachable.add(upstream.id);
        }
    }
}
