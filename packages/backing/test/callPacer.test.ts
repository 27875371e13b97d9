import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as backing from "@boragedale/backing";

const suite = uvu.suite("call pacer");
const { Ledger, Lease, Checkpoint, Read } = backing.CallPurpose;

function createPacer(share: number): backing.CallPacer<backing.PacedCall> {
    return new backing.CallPacer(share, backing.DefaultPurposeLimits, 0);
}

interface Taken {
    readonly at: number;
    readonly purpose: backing.CallPurpose;
}

/** Takes the calls that may be sent, every `step` milliseconds from `start` to `end`; `before` queues calls first. */
function run(
    pacer: backing.CallPacer<backing.PacedCall>,
    span: { readonly start: number; readonly end: number; readonly step: number },
    before: (now: number) => void = () => undefined,
): readonly Taken[] {
    const taken: Taken[] = [];
    for (let now = span.start; now <= span.end; now += span.step) {
        before(now);
        for (let call = pacer.tryTake(now); call !== undefined; call = pacer.tryTake(now)) {
            taken.push({ at: now, purpose: call.purpose });
        }
    }
    return taken;
}

function getBusiestSecond(taken: readonly Taken[]): number {
    const counts = taken.map(
        first => taken.filter(other => other.at >= first.at && other.at < first.at + 1_000).length,
    );
    return Math.max(0, ...counts);
}

function countPurpose(taken: readonly Taken[], purpose: backing.CallPurpose): number {
    return taken.filter(call => call.purpose === purpose).length;
}

// Calls of all purposes arrive in bursts. If the pacer sent more calls in a second than the instance's share, the service
// would refuse calls of every purpose, ledger writes included. The order of arrivals and restarts must not matter.
suite("no second contains more calls than the share", () => {
    const purpose = fc.constantFrom(...backing.PurposesByUrgency);
    const arrival = fc.record({
        at: fc.integer({ min: 0, max: 4_000 }),
        count: fc.integer({ min: 1, max: 40 }),
        purpose,
    });
    const restarts = fc.array(fc.integer({ min: 0, max: 4_000 }), { maxLength: 3 });
    const share = fc.integer({ min: 1, max: 60 });
    const property = fc.property(
        fc.array(arrival, { maxLength: 12 }),
        restarts,
        share,
        (arrivals, restartsAt, rate) => {
            const pacer = createPacer(rate);
            const taken = run(pacer, { start: 0, end: 6_000, step: 10 }, now => {
                for (const { at, count, purpose } of arrivals) {
                    for (let index = 0; index < count && at >= now && at < now + 10; index++) {
                        pacer.enqueue({ purpose, queuedAt: now });
                    }
                }
                if (restartsAt.some(at => at >= now && at < now + 10)) {
                    pacer.restart(now, 0.5);
                }
            });
            // A share under ten calls a second may be exceeded, because the burst is at least two tokens.
            const limit = Math.max(rate, 0.8 * rate + 2);
            assert.ok(getBusiestSecond(taken) <= limit, `${getBusiestSecond(taken)} calls with a share of ${rate}`);
        },
    );
    fc.assert(property, { seed: 20_261, numRuns: 200 });
});

suite("calls of urgent purposes are sent first", () => {
    const pacer = createPacer(10);
    run(pacer, { start: 0, end: 0, step: 1 }, now => {
        for (const purpose of [Checkpoint, Checkpoint, Checkpoint, Ledger]) {
            pacer.enqueue({ purpose, queuedAt: now });
        }
    });
    // The bucket starts with two tokens. The ledger's call takes one of them, though it was queued last. The other one is
    // reserved for the next urgent call.
    const rest = run(pacer, { start: 1, end: 2_000, step: 1 });
    assert.equal([countPurpose(rest, Ledger), countPurpose(rest, Checkpoint)], [0, 3]);
});

// For a minute, ledger calls alone exceed the share. The lease is still renewed with its guaranteed fraction. If its calls
// were starved, the instance would lose its assignments under its highest load.
suite("many urgent calls don't prevent the lease from being renewed", () => {
    const pacer = createPacer(10);
    const taken = run(pacer, { start: 0, end: 60_000, step: 50 }, now => {
        pacer.enqueue({ purpose: Ledger, queuedAt: now });
        if (now % 2_500 === 0) {
            pacer.enqueue({ purpose: Lease, queuedAt: now });
        }
    });
    assert.ok(countPurpose(taken, Lease) >= 24, `${countPurpose(taken, Lease)} of 25 keep-alives went`);
    assert.ok(countPurpose(taken, Ledger) > 400);
});

suite("a call that would wait too long is refused at once with a retry time", () => {
    const pacer = createPacer(10);
    const outcomes = Array.from({ length: 100 }, () => pacer.enqueue({ purpose: Ledger, queuedAt: 0 }));
    const refused = outcomes.filter(outcome => outcome.kind === backing.QueueOutcomeKind.Refused);
    const isQueued = (outcome: backing.QueueOutcome<backing.PacedCall>): boolean =>
        outcome.kind === backing.QueueOutcomeKind.Queued;
    // A burst of two, then two seconds of waiting at 8 calls a second.
    assert.is(outcomes.filter(isQueued).length, 18);
    assert.ok(refused.every(outcome => outcome.retryAfterMilliseconds > 0));
});

// A backlog of checkpoints is sent for minutes, as fast as tokens arrive. A booking (a ledger write) in between is sent at
// once, because a token is reserved for it. Without that token it would wait for the next one, which takes a second at a
// share of one call a second.
suite("a booking does not wait behind a backlog of checkpoints", () => {
    const pacer = createPacer(1);
    const fill = (now: number): void => {
        pacer.enqueue({ purpose: Checkpoint, queuedAt: now });
        if (now % 5_000 === 2_500) {
            pacer.enqueue({ purpose: Ledger, queuedAt: now });
        }
    };
    const taken = run(pacer, { start: 0, end: 120_000, step: 100 }, fill);
    const bookings = taken.filter(call => call.purpose === Ledger);
    assert.is(bookings.length, 24);
    // A checkpoint that uses its guaranteed fraction of the tokens may delay a booking, one time in ten.
    assert.ok(bookings.filter(call => call.at % 5_000 !== 2_500).length <= 2);
    assert.ok(countPurpose(taken, Checkpoint) >= 70, `${countPurpose(taken, Checkpoint)} checkpoints`);
});

// After an outage, every instance of the fleet has a full bucket and queued calls. If all of them sent a burst at once,
// the service would be overloaded. So each instance starts with a different fraction of a token.
suite("no burst is sent after a restart", () => {
    const pacer = createPacer(50);
    pacer.restart(60_000, 0.5);
    for (let index = 0; index < 20; index++) {
        pacer.enqueue({ purpose: Checkpoint, queuedAt: 60_000 });
    }
    const taken = run(pacer, { start: 60_000, end: 60_100, step: 1 });
    assert.ok(taken.every(call => call.at >= 60_037));
    assert.is(taken.length, 3);
});

suite("a throttled pacer pauses, continues at a lower rate, and recovers its rate", () => {
    const pacer = createPacer(50);
    const keepBusy = (now: number): void => {
        pacer.enqueue({ purpose: Read, queuedAt: now });
    };
    pacer.slowDown(0, 500);
    const slow = run(pacer, { start: 0, end: 1_500, step: 10 }, keepBusy);
    assert.ok(slow.every(call => call.at >= 500));
    assert.ok(slow.length < 35, `${slow.length} calls in the first second after the pause`);
    const later = run(pacer, { start: 10_000, end: 11_000, step: 10 }, keepBusy);
    assert.ok(later.length >= 40, `${later.length} calls in a second, ten seconds later`);
});

suite.run();
