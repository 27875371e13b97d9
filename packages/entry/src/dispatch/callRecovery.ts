import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import type * as callSender from "./callSender.js";

/** Pauses between attempts to determine an outcome. After the last one the outcome is permanently unknown. */
const SettlePausesMilliseconds = [250, 500, 1_000, 2_000, 4_000, 8_000, 15_000, 30_000, 60_000];

export enum SettledKind {
    Answered = "Answered",
    /** The service denies the key, and by the release note the call can no longer start there. */
    DidNotRun = "DidNotRun",
    Unknown = "Unknown",
}

export type Settled =
    | { readonly kind: SettledKind.Answered; readonly response: upstreams.ServiceResponse }
    | { readonly kind: SettledKind.DidNotRun }
    | { readonly kind: SettledKind.Unknown };

/**
 * Determines the outcome of a call that may have run.
 *
 * `upstream` is the server that it was sent to. It is undefined if the call was sent by an instance that has since been
 * removed.
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
    for (const pause of SettlePausesMilliseconds) {
        const slot = sender.takeSlot(target.service, new Set());
        const outcome = slot === undefined ? undefined : await sender.sendOnceTo(slot, target.call);
        if (outcome?.ok === true) {
            return { kind: SettledKind.Answered, response: outcome.response };
        }
        await clock.sleep(pause);
    }
    return { kind: SettledKind.Unknown };
}

/**
 * Asks the service whether the call ran. An answer "did not run" alone isn't final: if the connection broke, the call
 * may still be unread in the server's socket and run later. It is accepted only after the service has denied the key
 * for the time in which a call can still start, `settleMilliseconds` in the release note. If the note gives no time,
 * the outcome stays unknown and nothing is sent twice.
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
    for (const pause of SettlePausesMilliseconds) {
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
 * Accepts "ran" from any server, but "did not run" only from the server that the call was sent to, because servers may
 * not share their records and the call would otherwise run on a second one. If that server isn't known, all must deny
 * the key.
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
