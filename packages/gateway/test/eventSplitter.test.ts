import * as fastCheck from "fast-check";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("eventSplitter");

// The network may split the data at any byte. The caller must receive exactly the upstream's bytes, and a stream that resumes
// at another upstream must continue after the last complete event.
suite("complete events are returned with unchanged bytes, however the network splits the data", () => {
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
            const received: gateway.RawEvent[] = [];
            let turn = 0;
            for (let start = 0; start < whole.length; turn++) {
                const end = start + (cuts[turn % cuts.length] ?? 1);
                received.push(...(splitter.push(Buffer.from(whole.subarray(start, end))) ?? []));
                start = end;
            }
            assert.equal(
                received.map(rawEvent => rawEvent.bytes.toString()),
                texts,
            );
            assert.equal(
                received.map(rawEvent => rawEvent.id),
                events.map(({ id }) => id),
            );
            assert.is(splitter.getRemainder().length, 0);
        },
    );
    fastCheck.assert(property, { seed: 3, numRuns: 300 });
});

suite("an incomplete event is not returned", () => {
    const splitter = new gateway.EventSplitter();
    assert.is(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.length, 1);
    assert.is(splitter.getRemainder().toString(), "id: 2\nda");
});

// A wrong id makes a stream that resumes at another upstream lose or repeat events. The id is that of the first line which begins with
// "id:", in any position, and is ignored if it is no integer.
suite("the id is read from the first line that begins with it", () => {
    const line = fastCheck.oneof(
        fastCheck.constantFrom("id:", "id", "i", " id: 4", "data: id: 5", "id: x", "id: 1.5", "id:9007199254740993"),
        fastCheck.nat(1_000).map(id => `id: ${id}`),
        fastCheck.string({ unit: "binary", minLength: 1 }).map(text => `data: ${text.replace(/[\r\n]/g, "")}`),
    );
    const property = fastCheck.property(
        fastCheck.array(line, { minLength: 1, maxLength: 5 }),
        fastCheck.constantFrom("\n", "\r\n"),
        (lines, ending) => {
            const value = lines.find(text => text.startsWith("id:"))?.slice(3);
            const id = value === undefined ? undefined : Number(value.trim());
            const events = new gateway.EventSplitter().push(Buffer.from(lines.join(ending) + ending + ending));
            assert.equal(
                events?.map(event => event.id),
                [Number.isSafeInteger(id) ? id : undefined],
            );
        },
    );
    fastCheck.assert(property, { seed: 5, numRuns: 300 });
});

suite.run();
