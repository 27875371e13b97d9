import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import type * as callSender from "./callSender.js";

/** Pauses between two tries to learn an outcome, in milliseconds; after the last the outcome is unknown for good. */
const SettlePauses = [250, 500, 1_000, 2_000, 4_000, 8_000, 15_000, 30_000, 60_000];

export enum SettledKind {
    Answered = "Answered",
    /** The service denies the key, and by the release note nothing of the call can begin there any more. */
    DidNotRun = "DidNotRun",
    Unknown = "Unknown",
}

export type Settled =
    | { readonly kind: SettledKind.Answered; readonly response: upstreams.ServiceResponse }
    | { readonly kind: SettledKind.DidNotRun }
    | { readonly kind: SettledKind.Unknown };

/**
 * Learns the outcome of a call that may have run.
 *
 * `upstream` is the server that it was sent to; undefined where an instance that is gone had chosen it.
 */
export async function settle(
    target: callSender.CallTarget,
    upstream: core.UpstreamId | undefined,
    sender: callSender.CallSender,
    clock: core.Clock,
): Promise<Settled> {
    switch (target.route.safety) {
        case core.CallSafety.Idempotent:
        case core.CallSafety.Deduplicated:
            return resend(target, sender, clock);
        case core.CallSafety.Askable:
            return target.route.askPath === undefined
                ? { kind: SettledKind.Unknown }
                : ask(target, target.route.askPath, upstream, sender, clock);
        case core.CallSafety.AtMostOnce:
            return { kind: SettledKind.Unknown };
    }
}

async function resend(
    target: callSender.CallTarget,
    sender: callSender.CallSender,
    clock: core.Clock,
): Promise<Settled> {
    for (const pause of SettlePauses) {
        const place = sender.takePlace(target.service, new Set());
        const outcome = place === undefined ? undefined : await sender.sendOnceTo(place, target.call);
        if (outcome?.ok === true) {
            return { kind: SettledKind.Answered, response: outcome.response };
        }
        await clock.sleep(pause);
    }
    return { kind: SettledKind.Unknown };
}

/**
 * "Did not run" is the service's word for now only: a call whose connection broke may still lie unread in its socket,
 * and would run after the denial. So it is believed only once the service has denied the key for as long as the release
 * note says that such a call can still begin; without that word the outcome stays unknown, and nothing is sent twice.
 */

async function ask(
    target: callSender.CallTarget,
    askPath: string,
    upstream: core.UpstreamId | undefined,
    sender: callSender.CallSender,
    clock: core.Clock,
): Promise<Settled> {
    const path = askPath.replace("{key}", encodeURIComponent(target.call.key));
    const { settleMilliseconds } = target.route;
    let deniedSince: core.MonotonicMilliseconds | undefined;
    for (const pause of SettlePauses) {
        const askedAt = clock.now();
        const answer = await askServers(target, path, upstream, sender);
        if (answer.kind === upstreams.AskOutcomeKind.Ran) {
            return { kind: SettledKind.Answered, response: answer.response };
        }
        const isDenied = answer.kind === upstreams.AskOutcomeKind.DidNotRun;
        deniedSince = isDenied ? (deniedSince ?? askedAt) : undefined;
        const isSettled = settleMilliseconds !== undefined && askedAt - (deniedSince ?? askedAt) >= settleMilliseconds;
        if (isDenied && isSettled) {
            return { kind: SettledKind.DidNotRun };
        }
        await clock.sleep(pause);
    }
    return { kind: SettledKind.Unknown };
}

/**
 * "It ran" is believed from any server, "it did not run" only from the one that it was sent to: servers that don't
 * share their records would else make a call run on a second one. Where the server isn't known, all must say so.
 */
async function askServers(
    target: callSender.CallTarget,
    path: string,
    upstream: core.UpstreamId | undefined,
    sender: callSender.CallSender,
): Promise<upstreams.AskOutcome> {
    const servers = sender.listAskable(target.service);
    const answers = await Promise.all(
        servers.map(async server => ({ server, answer: await sender.ask(server, path) })),
    );
    const ran = answers.find(entry => entry.answer.kind === upstreams.AskOutcomeKind.Ran);
    if (ran !== undefined) {
        return ran.answer;
    }
    const mustDeny = upstream === undefined ? answers : answers.filter(entry => entry.server.id === upstream);
    const areDenied = mustDeny.every(entry => entry.answer.kind === upstreams.AskOutcomeKind.DidNotRun);
    return areDenied && mustDeny.length > 0
        ? { kind: upstreams.AskOutcomeKind.DidNotRun }
        : { kind: upstreams.AskOutcomeKind.NoAnswer, text: "a server that may have run it does not answer" };
}
