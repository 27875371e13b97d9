import * as cac from "cac";
import * as fastCheck from "fast-check";
import * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";

/**
 * Feeds the decoder of the peer protocol and the release note checker with arbitrary and with nearly valid input for a
 * given time, and prints the seeds. If an input fails, prints the smallest failing input and exits with 1. The endpoint
 * for callers is fuzzed by its own test (`npm test -- callerFace`).
 */

interface Target {
    readonly name: string;
    readonly property: fastCheck.IRawProperty<unknown>;
}

const RunsPerRound = 2_000;
const DefaultMinutes = 1;

void main().then(code => (process.exitCode = code));

async function main(): Promise<number> {
    const program = cac.cac("fuzz");
    program.option("--minutes <minutes>", `how long (${DefaultMinutes})`);
    program.option("--seed <seed>", "repeats a run; random by default");
    program.help();
    const { options } = program.parse();
    if (options["help"] === true) {
        return 0;
    }
    const end = performance.now() + Number(options["minutes"] ?? DefaultMinutes) * 60_000;
    const firstSeed = Number(options["seed"] ?? Math.floor(Math.random() * 2 ** 31));
    let rounds = 0;
    do {
        const seed = firstSeed + rounds++;
        for (const target of createTargets()) {
            const result = await fastCheck.check(target.property, { seed, numRuns: RunsPerRound });
            if (result.failed) {
                console.error(`${target.name} failed, seed ${seed}: ${fastCheck.defaultReportMessage(result) ?? ""}`);
                return 1;
            }
        }
    } while (performance.now() < end);
    console.log(`${rounds} rounds of ${RunsPerRound} inputs each, seeds ${firstSeed} to ${firstSeed + rounds - 1}`);
    return 0;
}

function createTargets(): readonly Target[] {
    return [
        { name: "decoder, arbitrary bytes", property: createDecoderProperty(fastCheck.uint8Array({ maxLength: 400 })) },
        { name: "decoder, damaged frames", property: createDecoderProperty(createDamagedFrames()) },
        { name: "note checker", property: fastCheck.property(createNotes(), checkNote) },
    ];
}

/** Checks that decoding never throws: an unreadable frame must be reported in the return value. */
function createDecoderProperty(bytes: fastCheck.Arbitrary<Uint8Array>): fastCheck.IRawProperty<unknown> {
    const lane = fastCheck.constantFrom(...Object.values(protocol.Lane));
    return fastCheck.property(bytes, lane, (frame, laneOfFrame) => {
        protocol.decodeFrame(frame, laneOfFrame);
    }) as fastCheck.IRawProperty<unknown>;
}

function createDamagedFrames(): fastCheck.Arbitrary<Uint8Array> {
    const message: protocol.Message = {
        kind: protocol.MessageKind.OnlinePressure,
        upstream: "engine-1",
        inFlight: 3,
        queued: 1,
    };
    const encoded = protocol.encodeFrame({ message }, protocol.Lane.Control);
    core.Debug.assert(encoded.ok, "a small message fits into a frame");
    const originalFrame = encoded.bytes;
    const change = fastCheck.tuple(fastCheck.nat(originalFrame.length - 1), fastCheck.nat(255));
    return fastCheck.array(change, { maxLength: 6 }).map(changes => {
        const damaged = Uint8Array.from(originalFrame);
        changes.forEach(([index, value]) => (damaged[index] = value));
        return damaged;
    });
}

function createNotes(): fastCheck.Arbitrary<string> {
    const fragment = fastCheck.constantFrom(
        "added:",
        "changed:",
        "withdrawn:",
        "    models:",
        "    upstreams:",
        "        - id: a",
        "          version: 1",
        "          url: x",
        "policy: {batchWeight: 2}",
        "- &a [*a]",
        "? [",
        "\t",
        "!!map",
    );
    const lines = fastCheck.array(fastCheck.oneof(fragment, fastCheck.string({ maxLength: 12 })), { maxLength: 25 });
    return lines.map(all => all.join("\n"));
}

function checkNote(source: string): void {
    const checked = release.checkNote(source, "note.yaml", undefined);
    if (!checked.ok && checked.findings.length === 0) {
        throw new Error("refused without a finding");
    }
}
