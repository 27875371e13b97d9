import * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("codec");

const payload = fastCheck.uint8Array({ maxLength: 200 });
const shard = fastCheck.nat(4_095);

function createMessageArbitrary(): fastCheck.Arbitrary<protocol.Message> {
    return fastCheck.oneof(
        fastCheck.record({
            kind: fastCheck.constant(protocol.MessageKind.Heartbeat as const),
            generation: fastCheck.nat(),
            digest: fastCheck.nat(0xffff_ffff),
            logicalTime: fastCheck.nat(),
            state: fastCheck.constantFrom(...Object.values(core.LifeState)),
        }),
        fastCheck.record({ kind: fastCheck.constant(protocol.MessageKind.LedgerBegin as const), shard, payload }),
        fastCheck.record({ kind: fastCheck.constant(protocol.MessageKind.LedgerRecord as const), payload }),
        fastCheck.record({
            kind: fastCheck.constant(protocol.MessageKind.SuspectReport as const),
            fingerprint: fastCheck.string({ maxLength: 64 }),
            deaths: fastCheck.nat(),
        }),
        fastCheck.record({
            kind: fastCheck.constant(protocol.MessageKind.Leaving as const),
            instance: fastCheck.string({ maxLength: 64 }),
        }),
    );
}

suite("what is encoded decodes to the same", () => {
    const correlation = fastCheck.option(fastCheck.nat(), { nil: undefined });
    const property = fastCheck.property(createMessageArbitrary(), correlation, (message, number) => {
        const frame = number === undefined ? { message } : { correlation: number, isReply: true, message };
        const encoded = protocol.encodeFrame(frame, protocol.Lane.Online);
        core.Debug.assert(encoded.ok, "a small message fits");
        const decoded = protocol.decodeFrame(encoded.bytes, protocol.Lane.Online);
        assert.equal(decoded.ok && toPlain(decoded.frame), toPlain(frame));
    });
    fastCheck.assert(property, { seed: 11, numRuns: 300 });
});

// A peer of another make, or a damaged one, sends any bytes whatever. The reader must get a finding: an exception
// would end the task of the connection as a defect.
suite("any bytes decode to a frame or a finding, never to an exception", () => {
    const property = fastCheck.property(fastCheck.uint8Array({ maxLength: 300 }), bytes => {
        const decoded = protocol.decodeFrame(bytes, protocol.Lane.Control);
        assert.type(decoded.ok, "boolean");
    });
    fastCheck.assert(property, { seed: 12, numRuns: 2_000 });
});

suite("bytes changed in a valid frame decode to a frame or a finding", () => {
    const property = fastCheck.property(
        createMessageArbitrary(),
        fastCheck.nat(),
        fastCheck.nat(255),
        (message, position, byte) => {
            const encoded = protocol.encodeFrame({ message }, protocol.Lane.Control);
            core.Debug.assert(encoded.ok, "a small message fits");
            const bytes = Uint8Array.from(encoded.bytes);
            bytes[position % bytes.length] = byte;
            assert.type(protocol.decodeFrame(bytes, protocol.Lane.Control).ok, "boolean");
        },
    );
    fastCheck.assert(property, { seed: 13, numRuns: 1_000 });
});

suite("a message over its lane's limit is a finding at both ends", () => {
    const message: protocol.LedgerRecord = {
        kind: protocol.MessageKind.LedgerRecord,
        payload: new Uint8Array(protocol.getFrameLimit(protocol.Lane.Control)),
    };
    const encoded = protocol.encodeFrame({ message }, protocol.Lane.Control);
    assert.is(!encoded.ok && encoded.finding.kind, protocol.FrameFindingKind.TooLarge);
    const large = protocol.encodeFrame({ message }, protocol.Lane.Bulk);
    core.Debug.assert(large.ok, "the bulk lane takes it");
    const decoded = protocol.decodeFrame(large.bytes, protocol.Lane.Control);
    assert.is(!decoded.ok && decoded.finding.kind, protocol.FrameFindingKind.TooLarge);
});

/** Bytes come back as a Buffer, so values are compared and not their classes. */
function toPlain(frame: protocol.Frame): unknown {
    const { message } = frame;
    return { ...frame, message: "payload" in message ? { ...message, payload: [...message.payload] } : { ...message } };
}

suite.run();
