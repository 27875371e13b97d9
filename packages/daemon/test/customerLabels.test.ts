import * as daemon from "@boragedale/daemon";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("customerLabels");

// Guards against one series for each of thousands of customers, and against the busiest ones summed as others because
// they appeared late.
suite("the customers with most requests have a label, the others share one", () => {
    const released: string[] = [];
    const labels = new daemon.CustomerLabels(customer => released.push(customer));
    const used = new Set<string>();
    for (let index = 0; index < 100; index++) {
        used.add(labels.getLabel(`customer-${index}`));
    }
    assert.is(used.size, 21);
    assert.ok(used.has(daemon.OtherCustomers));
    const late = [...new Array(5).keys()].map(() => labels.getLabel("customer-99"));
    assert.is(late.at(-1), "customer-99");
    assert.is(released.length, 1);
    assert.ok(used.has(released[0]!), "a labelled customer loses its label");
});

suite.run();
