import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as work from "@boragedale/work";

const suite = uvu.suite("commit pacer and job selection");

/** Sends evenly spaced requests to the pacer for ten seconds; returns the number of commits and the longest wait. */
function runPacer(perSecond: number): { readonly commits: number; readonly longestWait: number } {
    const pacer = new work.CommitPacer({ commitsPerSecond: 40 }, 0);
    const gap = 1_000 / perSecond;
    let commits = 0;
    let longestWait = 0;
    for (let arrival = 0; arrival < 10_000;) {
        const at = arrival + pacer.getWaitMilliseconds(arrival);
        const requests = Math.floor((at - arrival) / gap) + 1;
        longestWait = Math.max(longestWait, at - arrival);
        pacer.recordCommit(at, requests);
        commits++;
        arrival += requests * gap;
    }
    return { commits, longestWait };
}

suite("at a low request rate each request is committed immediately", () => {
    assert.equal(runPacer(20), { commits: 200, longestWait: 0 });
});

suite("at a high request rate requests share commits, and none waits longer than two intervals", () => {
    for (const perSecond of [100, 300, 1_000, 10_000]) {
        const { commits, longestWait } = runPacer(perSecond);
        assert.ok(commits <= 404, `${commits} commits`);
        assert.ok(longestWait <= 50, `${longestWait} ms`);
    }
    assert.ok(runPacer(300).commits < 250);
});

interface Candidate extends work.JobCandidate {
    remaining: number;
}

function createCandidate(id: string, caller: string, deadlineAt: number, remaining: number): Candidate {
    return { id, caller, createdAt: 0, deadlineAt, remaining };
}

function serve(candidates: readonly Candidate[], now: number, count: number): readonly string[] {
    const selection = new work.JobSelection();
    const served: string[] = [];
    for (let turn = 0; turn < count; turn++) {
        const chosen = selection.choose(
            candidates.filter(candidate => candidate.remaining > 0),
            now,
        );
        if (chosen === undefined) {
            break;
        }
        chosen.remaining--;
        served.push(chosen.id);
    }
    return served;
}

suite("callers are served round-robin, each with its job of the earliest deadline", () => {
    const candidates = [
        createCandidate("large", "kandula", 3_600_000, 1_000),
        createCandidate("later", "bureau", 7_200_000, 2),
        createCandidate("earlier", "bureau", 7_100_000, 1),
    ];
    assert.equal(serve(candidates, 0, 6), ["large", "earlier", "large", "later", "large", "later"]);
});

suite("a job close to its deadline is selected before all others", () => {
    const candidates = [
        createCandidate("large", "kandula", 86_400_000, 1_000),
        createCandidate("urgent", "bureau", 3_600_000, 3),
    ];
    assert.equal(serve(candidates, 3_400_000, 5), ["urgent", "urgent", "urgent", "large", "large"]);
});

suite.run();
