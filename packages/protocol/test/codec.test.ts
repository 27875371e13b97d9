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
            state: fastCheck.constantFrom(...Object.values(core.LifecycleState)),
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

const form = fastCheck.constantFrom(...Object.values(protocol.FrameForm));

suite("encoding and decoding a frame restores it in each form", () => {
    const correlation = fastCheck.option(fastCheck.nat(), { nil: undefined });
    const property = fastCheck.property(createMessageArbitrary(), correlation, form, (message, number, chosen) => {
        const frame = number === undefined ? { message } : { correlation: number, isReply: true, message };
        const encoded = protocol.encodeFrame(frame, protocol.Lane.Online, chosen);
        core.Debug.assert(encoded.ok, "a small message fits");
        const decoded = protocol.decodeFrame(encoded.bytes, protocol.Lane.Online);
        assert.equal(decoded.ok && toPlain(decoded.frame), toPlain(frame));
    });
    fastCheck.assert(property, { seed: 11, numRuns: 300 });
});

// A foreign or faulty peer can send arbitrary bytes. Decoding must return a finding: an exception would be reported as an
// internal defect and end the connection's task.
suite("arbitrary bytes decode to a frame or a finding without an exception", () => {
    const property = fastCheck.property(fastCheck.uint8Array({ maxLength: 300 }), bytes => {
        const decoded = protocol.decodeFrame(bytes, protocol.Lane.Control);
        assert.type(decoded.ok, "boolean");
    });
    fastCheck.assert(property, { seed: 12, numRuns: 2_000 });
});

suite("a valid frame with one changed byte decodes to a frame or a finding", () => {
    const property = fastCheck.property(
        createMessageArbitrary(),
        fastCheck.nat(),
        fastCheck.nat(255),
        form,
        (message, position, byte, chosen) => {
            const encoded = protocol.encodeFrame({ message }, protocol.Lane.Control, chosen);
            core.Debug.assert(encoded.ok, "a small message fits");
            const bytes = Uint8Array.from(encoded.bytes);
            bytes[position % bytes.length] = byte;
            assert.type(protocol.decodeFrame(bytes, protocol.Lane.Control).ok, "boolean");
        },
    );
    fastCheck.assert(property, { seed: 13, numRuns: 1_000 });
});

suite("a message over its lane's limit is a finding when encoding and when decoding", () => {
    const message: protocol.LedgerRecord = {
        kind: protocol.MessageKind.LedgerRecord,
        payload: new Uint8Array(protocol.getFrameLimit(protocol.Lane.Control)),
    };
    const encoded = protocol.encodeFrame({ message }, protocol.Lane.Control);
    assert.is(!encoded.ok && encoded.finding.kind, protocol.FrameFindingKind.TooLarge);
    const large = protocol.encodeFrame({ message }, protocol.Lane.Bulk);
    core.Debug.assert(large.ok, "the message is within the bulk lane's limit");
    const decoded = protocol.decodeFrame(large.bytes, protocol.Lane.Control);
    assert.is(!decoded.ok && decoded.finding.kind, protocol.FrameFindingKind.TooLarge);
});

// In a large fleet, a coordinator's reply is sent for nearly every request. With field names it took 80 bytes, of which 20 carried
// information, and control traffic alone exceeded the limit of a node.
suite("a small message in the packed form takes at most 20 bytes", () => {
    const message: protocol.SlotReply = {
        kind: protocol.MessageKind.SlotReply,
        upstream: "i-0123456789",
        waiting: 0,
        free: 3,
    };
    const frame = { correlation: 70, isReply: true, message };
    const encoded = protocol.encodeFrame(frame, protocol.Lane.Online, protocol.FrameForm.Packed);
    assert.ok(encoded.ok && encoded.bytes.byteLength <= 20, encoded.ok ? `${encoded.bytes.byteLength} bytes` : "");
});

// Three of four of these messages are sent at a peak without a free slot. With placeholders for the absent fields before it,
// `allowsYield` would double their size.
suite("a slot request that doesn't allow a yield is small", () => {
    const message = { kind: protocol.MessageKind.SlotRequest, service: "service", allowsYield: false } as const;
    const encoded = protocol.encodeFrame({ correlation: 70, message }, protocol.Lane.Online, protocol.FrameForm.Packed);
    assert.ok(encoded.ok && encoded.bytes.byteLength <= 18, encoded.ok ? `${encoded.bytes.byteLength} bytes` : "");
});

// During a rolling upgrade, instances of two versions exchange packed frames. If a kind's number or a field's position changed
// between versions, one instance could decode as a refusal what the other sent as a granted slot. New kinds and fields may
// only be appended.
suite("kinds and fields keep their numbers and positions in the packed form", () => {
    const places = Object.values(protocol.MessageKind).map(kind =>
        `${protocol.KindNumbers[kind]} ${kind}: ${protocol.getPackedFields(kind).join(" ")}`.trimEnd(),
    );
    assert.equal(places, [
        "0 Challenge: challenge",
        "1 Hello: version instance lane challenge proof readsPacked url",
        "2 Heartbeat: generation digest logicalTime state isWatching configurationRevision upstreamsRevision upstreamsDigest",
        "3 Leaving: instance",
        "4 NoteRequest: newerThan",
        "5 NoteReply: note",
        "6 LedgerBegin: shard payload",
        "7 LedgerBegun: payload",
        "8 LedgerFinish: shard payload",
        "9 LedgerFinished: payload",
        "10 LedgerRead: shard payload",
        "11 LedgerRecord: payload",
        "12 JobCancelled: job",
        "13 OnlinePressure: upstream inFlight queued fastestGap",
        "14 OnlineTotal: upstream inFlight isLeaving fastestGap",
        "15 SuspectReport: fingerprint deaths deathsByUpstream",
        "16 RegistryRequest: revision",
        "17 RegistryEntries: isWhole entries settled",
        "18 SlotUses: isWhole uses speeds slacks",
        "19 YieldSlot: upstream",
        "20 BatchStart: upstream slots reserve",
        "21 BatchStartReply: isGranted",
        "22 SlotRequest: service except allowsYield customer weight priority remainingMilliseconds waitMilliseconds",
        "23 SlotReply: upstream waiting free expectedWaitMilliseconds speeds",
        "24 BatchSlotRequest: service dueInMilliseconds remainingMilliseconds",
        "25 BatchSlotReply: upstream",
        "26 SubmissionOwned: submission",
        "27 SubmissionRead: submission position waitMilliseconds",
        "28 SubmissionPage: total next results",
        "29 SubmissionItemRead: submission item",
        "30 SubmissionItemBody: body",
        "31 SubmissionEnd: submission",
        "32 SubmissionEnded:",
        "33 SubmissionHandover: submission progress origins",
        "34 SubmissionForward: submission host target items waitMilliseconds customer",
        "35 SubmissionKept:",
        "36 SubmissionNotKept: isCertain",
        "37 Refused: text",
        "38 QuotaClaim: customer requestsPerSecond burst uncounted",
        "39 QuotaReply: isGranted retryAfterMilliseconds",
        "40 QuotaReturn: customer count",
        "41 StreamOrigins: origins",
        "42 StreamOriginRequest: service stream",
        "43 StreamOriginReply: recentVersions softwareVersion",
        "44 PromptPartCrash: upstream parts details",
        "45 PromptPartsAnswered: parts",
        "46 PromptPartQuarantined: part remainingMilliseconds",
        "47 QuarantineTrialRequest: quarantine name isOwed",
        "48 QuarantineTrialReply: isGranted failures waitMilliseconds",
        "49 QuarantineTrialFailed: quarantine name failures",
        "50 QuarantineEnded: quarantine name",
    ]);
});

/** Converts payloads to arrays, because a payload is decoded to a Buffer and only its values are to be compared. */
function toPlain(frame: protocol.Frame): unknown {
    const { message } = frame;
    return { ...frame, message: "payload" in message ? { ...message, payload: [...message.payload] } : { ...message } };
}

suite.run();
