import * as decisions from "@boragedale/decisions";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("crashingParts");

const Minute = 60_000;

function createCrash(upstream: string, ...requests: readonly (readonly string[])[]): decisions.UpstreamCrash {
    return {
        upstream,
        parts: requests.flatMap(([fingerprint = "", ...parts]) =>
            parts.map((part, position) => ({ part, position, fingerprint })),
        ),
    };
}

function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 0x1_0000_0000;
    };
}

// Guards against a verdict on the part that sound requests share with the guilty ones.
suite("of two parts at the same crashes, the one that fewer requests share is guilty", () => {
    const detector = new decisions.CrashingPartDetector();
    assert.is(detector.recordCrash(createCrash("a", ["r1", "first", "second"]), 0), undefined);
    assert.is(detector.recordCrash(createCrash("b", ["r1", "first", "second"]), 100), undefined);
    assert.is(detector.recordCrash(createCrash("c", ["r2", "first", "second"]), 900)?.part, "second");
    assert.is(detector.tryGetQuarantined(["first", "other"], 1_000), undefined);
    assert.is(detector.tryGetQuarantined(["first", "second"], 1_000)?.part, "second");
});

suite("a first part is guilty if it crashes upstreams with any second one", () => {
    const detector = new decisions.CrashingPartDetector();
    detector.recordCrash(createCrash("a", ["r1", "first", "x"]), 0);
    detector.recordCrash(createCrash("b", ["r2", "first", "y"]), 100);
    assert.is(detector.recordCrash(createCrash("c", ["r3", "first", "z"]), 200)?.part, "first");
});

// Guards against refusing all requests that share parts with a single request that crashes upstreams by its body.
suite("a request that crashes upstreams again and again says nothing about its parts", () => {
    const detector = new decisions.CrashingPartDetector();
    for (let index = 0; index < 8; index++) {
        assert.is(detector.recordCrash(createCrash(`u${index}`, ["r", "first", "second"]), index * 500), undefined);
    }
});

// Guards against refusing the most common requests after all upstreams have crashed at the same moment.
suite("parts that were answered before a crash of all upstreams stay usual", () => {
    const detector = new decisions.CrashingPartDetector();
    detector.recordAnswered(["common", "other"], 0);
    for (let index = 0; index < 13; index++) {
        const crash = createCrash(`u${index}`, [`r${index}`, "common", "other"], [`s${index}`, "common", "rare"]);
        detector.recordCrash(crash, 1_000 + index * 10);
    }
    assert.is(detector.tryGetQuarantined(["common", "other"], 1_200), undefined);
});

// Guards against a verdict that is never corrected.
suite("an answer proves a part innocent, and a crash renews an ended quarantine", () => {
    const detector = new decisions.CrashingPartDetector();
    detector.quarantine("part", Minute, 0);
    assert.equal(detector.recordAnswered(["part"], 1_000), ["part"]);
    assert.is(detector.tryGetQuarantined(["part"], 1_000), undefined);
    detector.quarantine("part", Minute, 2_000);
    assert.is(detector.tryGetQuarantined(["part"], 2 * Minute), undefined);
    assert.is(detector.recordCrash(createCrash("a", ["r", "part"]), 2 * Minute)?.part, "part");
});

interface LoadOutcome {
    readonly crashesUntilFound: number;
    readonly refusedSoundParts: readonly string[];
}

/**
 * Plays a load of 60 requests a second on 13 upstreams: 12 first parts and 200 second parts of uneven popularity, two requests a
 * second with the guilty part, each tried twice, and crashes of single upstreams for other reasons.
 */
function playLoad(seed: number): LoadOutcome {
    const random = createRandom(seed);
    const detector = new decisions.CrashingPartDetector();
    const running: {
        readonly upstream: number;
        readonly name: string;
        readonly parts: string[];
        readonly doneAt: number;
    }[] = [];
    const incarnations = new Array<number>(13).fill(0);
    const refused = new Set<string>();
    let crashes = 0;
    let found = Infinity;
    const crash = (upstream: number, now: number): void => {
        const lost = running.filter(request => request.upstream === upstream);
        lost.forEach(request => running.splice(running.indexOf(request), 1));
        const rows = lost.map(({ name, parts }) => [name, ...parts]);
        const guilty = detector.recordCrash(createCrash(`${upstream}@${incarnations[upstream]}`, ...rows), now);
        incarnations[upstream]!++;
        if (guilty?.part === "guilty") {
            found = Math.min(found, crashes);
        }
        else if (guilty !== undefined) {
            refused.add(guilty.part);
        }
    };
    for (let now = 0; now < 30_000; now += 10) {
        for (const request of running.filter(({ doneAt }) => doneAt <= now)) {
            running.splice(running.indexOf(request), 1);
            detector.recordAnswered(request.parts, now);
        }
        if (random() < 0.6) {
            const parts = [`first-${Math.floor(random() ** 3 * 12)}`, `second-${Math.floor(random() ** 2 * 200)}`];
            const upstream = Math.floor(random() * 13);
            running.push({ upstream, name: `r${now}`, parts, doneAt: now + 60 + random() * 200 });
        }
        if (now > 10_000 && random() < 0.02) {
            const parts = ["first-0", "guilty"];
            for (let attempt = 0; attempt < 2 && detector.tryGetQuarantined(parts, now) === undefined; attempt++) {
                const upstream = Math.floor(random() * 13);
                running.push({ upstream, name: `g${now}`, parts, doneAt: Infinity });
                crashes++;
                crash(upstream, now);
            }
        }
        if (random() < 0.002) {
            crash(Math.floor(random() * 13), now);
        }
    }
    return { crashesUntilFound: found, refusedSoundParts: [...refused] };
}

// Guards against a guilty part that is found late or never, and against sound parts that are refused, for any order of events.
suite("under load, a guilty part is found within five crashes and sound parts stay usual", () => {
    for (let seed = 1; seed <= 40; seed++) {
        const outcome = playLoad(seed);
        assert.ok(outcome.crashesUntilFound <= 5, `seed ${seed}: found after ${outcome.crashesUntilFound} crashes`);
        assert.equal(outcome.refusedSoundParts, [], `seed ${seed}`);
    }
});

suite.run();
