import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import type * as callSender from "./callSender.js";

/** Pauses between two tries to learn an outcome, in milliseconds; after the last the outcome is unknown for good. */
const SettlePauses = [250, 500, 1_000, 2_000, 4_000, 8_000, 15_000, 30_000, 60_000];
/**
 * A call whose connection broke may still wait inside the service. "Did not run" is believed once the service has said
 * so on this many tries in a row, which with the pauses above spans more than a second and a half.
 */
const DenialsNeeded = 4;

/**
 * Learns the outcome of a call that may have run. Returns its answer, or undefined where it must be given up: the
 * route can't be asked, or nothing was learned in all the tries.
 *
 * `upstream` is the server that it was sent to; undefined where an instance that is gone had chosen it.
 */
export async function settle(
    target: callSender.CallTarget,
    upstream: core.UpstreamId | undefined,
    sender: callSender.CallSender,
    clock: core.Clock,
): Promise<upstreams.ServiceResponse | undefined> {
    switch (target.route.safety) {
        case core.CallSafety.Idempotent:
        case core.CallSafety.Deduplicated:
            return resend(target, sender, clock);
        case core.CallSafety.Askable:
            return target.route.askPath === undefined
                ? undefined
                : ask(target, target.route.askPath, upstream, sender, clock);
        case core.CallSafety.AtMostOnce:
            return undefined;
    }
}

async function resend(
    target: callSender.CallTarget,
    sender: callSender.CallSender,
    clock: core.Clock,
): Promise<upstreams.ServiceResponse | undefined> {
    for (const pause of SettlePauses) {
        const place = sender.takePlace(target.service, new Set());
        const outcome = place === undefined ? undefined : await sender.sendOnceTo(place, target.call);
        if (outcome?.ok === true) {
            return outcome.response;
        }
        await clock.sleep(pause);
    }
    return undefined;
}

async function ask(
    target: callSender.CallTarget,
    askPath: string,
    upstream: core.UpstreamId | undefined,
    sender: callSender.CallSender,
    clock: core.Clock,
): Promise<upstreams.ServiceResponse | undefined> {
    const path = askPath.replace("{key}", encodeURIComponent(target.call.key));
    let denials = 0;
    for (const pause of SettlePauses) {
        const answer = await askServers(target, path, upstream, sender);
        if (answer.kind === upstreams.AskOutcomeKind.Ran) {
            return answer.response;
        }
        denials = answer.kind === upstreams.AskOutcomeKind.DidNotRun ? denials + 1 : 0;
        if (denials >= DenialsNeeded) {
            const sent = await sender.sendOnce(target);
            return sent.kind === "Answered" ? sent.response : undefined;
        }
        await clock.sleep(pause);
    }
    return undefined;
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
