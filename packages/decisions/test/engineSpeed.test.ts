import * as decisions from "@boragedale/decisions";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("engine speed");

const EventMilliseconds = 40;
const StepMilliseconds = 50;
const names = [...new Array(12).keys()].map(index => `e${index}`);

interface Play {
    readonly speed: decisions.EngineSpeed;
    readonly changes: decisions.ExclusionChange[];
    now: number;
}

function createPlay(): Play {
    const changes: decisions.ExclusionChange[] = [];
    const speed = new decisions.EngineSpeed(change => changes.push(change));
    speed.retain(new Set(names));
    return { speed, changes, now: 0 };
}

/** Adds the samples of six streams on each engine; `getTime` returns an engine's time per event at a moment. */
function run(play: Play, milliseconds: number, getTime: (engine: string, now: number) => number, requests = 6): void {
    for (const end = play.now + milliseconds; play.now < end; play.now += StepMilliseconds) {
        for (const engine of names) {
            const eventMilliseconds = getTime(engine, play.now);
            const events = (requests * StepMilliseconds) / eventMilliseconds;
            play.speed.add(engine, { eventMilliseconds, firstEventMilliseconds: 15, events }, requests, play.now);
        }
    }
}

const getUsualTime = (): number => EventMilliseconds;

function getUnevenTime(engine: string): number {
    return EventMilliseconds / [0.6, 1, 1.6][names.indexOf(engine) % 3]!;
}

/** Time per event if `e0` is 2.5 times slower from second 3 on. */
function getTimeWithSlowdown(engine: string, now: number): number {
    return engine === "e0" && now >= 3_000 ? EventMilliseconds * 2.5 : EventMilliseconds;
}

// Guards against moving load between equal engines: times that differ by a tenth are noise.
suite("engines of about equal speed have the usual standing", () => {
    const play = createPlay();
    run(play, 5_000, engine => EventMilliseconds * (1 + (names.indexOf(engine) % 3) * 0.05));
    names.forEach(engine => assert.equal(play.speed.getStanding(engine, play.now), decisions.UsualStanding));
});

// Guards against treating fast and slow engines alike, also in a process that has just become their coordinator.
suite("a new coordinator learns the speeds within a second", () => {
    const play = createPlay();
    assert.is(play.speed.getStanding("e0", 0).relativeSpeed, 1);
    run(play, 1_000, getUnevenTime);
    const [slow, usual, fast] = names.map(engine => play.speed.getStanding(engine, play.now).relativeSpeed);
    assert.ok(Math.abs(slow! - 0.6) < 0.06 && usual === 1 && Math.abs(fast! - 1.6) < 0.16, `${slow} ${usual} ${fast}`);
});

// Guards against taking a busy engine for a slow one: the time per event grows with the number of requests.
suite("the load of an engine does not change its speed", () => {
    const play = createPlay();
    const getLoad = (engine: string, now: number): number => 1 + ((Math.floor(now / 200) + names.indexOf(engine)) % 8);
    for (; play.now < 20_000; play.now += StepMilliseconds) {
        for (const engine of names) {
            const requests = getLoad(engine, play.now);
            const eventMilliseconds = EventMilliseconds * (1 + 0.08 * requests);
            play.speed.add(engine, { eventMilliseconds, firstEventMilliseconds: 0, events: 2 }, requests, play.now);
        }
    }
    names.forEach(engine => assert.equal(play.speed.getStanding(engine, play.now), decisions.UsualStanding));
    assert.is(play.changes.length, 0);
});

// Guards against sending requests to an engine that has become slow for 0.6 s, and against filling it at once after that.
suite("an engine that slows down is excluded within 150 ms and returns in steps", () => {
    const play = createPlay();
    run(play, 3_000, getTimeWithSlowdown);
    run(play, 150, getTimeWithSlowdown);
    assert.is(play.speed.getStanding("e0", play.now).isExcluded, true);
    run(play, 450, getTimeWithSlowdown);
    const shares: number[] = [];
    for (let step = 0; step < 30; step++) {
        run(play, StepMilliseconds, getUsualTime);
        const { isExcluded, usableShare } = play.speed.getStanding("e0", play.now);
        shares.push(isExcluded ? 0 : usableShare);
    }
    assert.equal([...new Set(shares)], [0.25, 0.5, 0.75, 1]);
    assert.ok(shares.indexOf(1) * StepMilliseconds <= 1_250, `usual after ${shares.indexOf(1)} steps`);
    assert.equal(
        play.changes.map(change => [change.upstream, change.isExcluded]),
        [
            ["e0", true],
            ["e0", false],
        ],
    );
});

// Guards against excluding an engine for ever: no requests are sent to it that could show its recovery.
suite("an excluded engine without samples returns", () => {
    const play = createPlay();
    run(play, 3_300, getTimeWithSlowdown);
    assert.is(play.speed.getStanding("e0", play.now).isExcluded, true);
    assert.is(play.speed.getStanding("e0", play.now + 700).isExcluded, false);
});

// Guards against losing the capacity of a service whose engines slow down one after the other.
suite("at most 30% of the engines are excluded at a time", () => {
    const play = createPlay();
    run(play, 3_000, getUsualTime);
    run(play, 500, engine => (names.indexOf(engine) < 8 ? EventMilliseconds * 2.5 : EventMilliseconds));
    assert.is(names.filter(engine => play.speed.getStanding(engine, play.now).isExcluded).length, 3);
});

// Guards against a broken peer that makes an engine look unusable, or a hundred times as fast as the others.
suite("absurd values have a bounded effect", () => {
    const play = createPlay();
    run(play, 3_000, getUsualTime);
    for (const eventMilliseconds of [1e12, 1e-9, Infinity, NaN, -5]) {
        play.speed.takeOver("e0", { eventMilliseconds, firstEventMilliseconds: NaN, events: 60 }, play.now);
        play.speed.add("e1", { eventMilliseconds, firstEventMilliseconds: NaN, events: 1e9 }, 6, play.now);
        for (const engine of names) {
            const { relativeSpeed } = play.speed.getStanding(engine, play.now);
            assert.ok(relativeSpeed >= 0.2 && relativeSpeed <= 5, `${engine}: ${relativeSpeed}`);
        }
    }
});

// Guards against using an old estimate for ever after notices were lost or the engine has had no requests.
suite("an estimate without samples decays to the usual speed", () => {
    const play = createPlay();
    run(play, 3_000, getUnevenTime);
    assert.ok(play.speed.getStanding("e0", play.now + 2_000).relativeSpeed < 0.7);
    assert.ok(play.speed.getStanding("e0", play.now + 8_000).relativeSpeed > 0.7);
    assert.is(play.speed.getStanding("e0", play.now + 12_000).relativeSpeed, 1);
});

// Guards against a sender whose event loop stalls: it measures long times everywhere.
suite("long times at all engines of a sender are attributed to the sender", () => {
    const ratios = ["e0", "e1", "e2", "e3"].map(upstream => ({ upstream, ratio: upstream === "e0" ? 7.5 : 3 }));
    assert.ok(decisions.getSenderFactor(ratios, "e0") > 2.4);
    const oneSlow = ratios.map(({ upstream, ratio }) => ({ upstream, ratio: ratio / 3 }));
    assert.is(decisions.getSenderFactor(oneSlow, "e0"), 1);
    assert.is(decisions.getSenderFactor(oneSlow, "e1"), 1);
});

// Guards against a placement that counts slots alone, and against queueing at a fast engine while a slow one is free.
suite("the occupied share is set against the speed, and a free slot goes before a queue", () => {
    const table = new decisions.SlotTable(
        () => 0.5,
        () => 0,
    );
    const candidates = [
        { id: "fast", slots: 8, dataCentre: "a", relativeSpeed: 1.6 },
        { id: "usual", slots: 8, dataCentre: "a" },
        { id: "slow", slots: 8, dataCentre: "a", isExcluded: true },
    ];
    table.setPeer("peer", "fast", { online: 4, batch: 0 });
    table.setPeer("peer", "usual", { online: 3, batch: 0 });
    assert.is(table.tryChooseOnline(candidates, "a", 1, 0)?.id, "fast");
    assert.is(table.tryChooseBatch(candidates, 1, "a", 0), "fast");
    table.setPeer("peer", "usual", { online: 2, batch: 0 });
    assert.is(table.tryChooseOnline(candidates, "a", 1, 0)?.id, "usual");
    table.setPeer("peer", "fast", { online: 8, batch: 0 });
    table.setPeer("peer", "usual", { online: 8, batch: 0 });
    assert.is(table.tryChooseOnline(candidates, "a", 1, 0)?.id, "slow");
    table.penalize("slow", 100);
    assert.is.not(table.tryChooseOnline(candidates, "a", 1, 0)?.id, "slow");
});

suite.run();
