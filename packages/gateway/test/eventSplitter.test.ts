import * as fastCheck from "fast-check";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("eventSplitter");

// The network cuts the bytes anywhere. The caller must get the upstream's own bytes, and a stream that is taken up
// elsewhere must go on exactly after the last whole event.
suite("whole events leave with their own bytes, wherever the network cuts", () => {
    const event = fastCheck.record({
        id: fastCheck.nat(1_000),
        data: fastCheck.string({ unit: "grapheme" }).map(text => text.replace(/[\r\n]/g, "")),
        ending: fastCheck.constantFrom("\n", "\r\n"),
    });
    const property = fastCheck.property(
        fastCheck.array(event, { maxLength: 8 }),
        fastCheck.array(fastCheck.integer({ min: 1, max: 30 }), { minLength: 1 }),
        (events, cuts) => {
            const texts = events.map(({ id, data, ending }) => `id: ${id}${ending}data: ${data}${ending}${ending}`);
            const whole = Buffer.from(texts.join(""));
            const splitter = new gateway.EventSplitter();
            const pieces: gateway.EventPiece[] = [];
            let turn = 0;
            for (let start = 0; start < whole.length; turn++) {
                const end = start + (cuts[turn % cuts.length] ?? 1);
                pieces.push(...(splitter.push(Buffer.from(whole.subarray(start, end))) ?? []));
                start = end;
            }
            assert.equal(
                pieces.map(piece => piece.bytes.toString()),
                texts,
            );
            assert.equal(
                pieces.map(piece => piece.id),
                events.map(({ id }) => id),
            );
            assert.is(splitter.getRest().length, 0);
        },
    );
    fastCheck.assert(property, { seed: 3, numRuns: 300 });
});

suite("an event that was cut off stays back", () => {
    const splitter = new gateway.EventSplitter();
    assert.is(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.length, 1);
    assert.is(splitter.getRest().toString(), "id: 2\nda");
});

suite.run();
