import * as customers from "@boragedale/customers";
import * as random from "../random.js";
import * as settledPlay from "../settledPlay.js";
import * as simulation from "../simulation.js";
import * as quotaScenes from "./quotaScenes.js";
import * as quotasFleet from "./quotasFleet.js";
import * as quotaWays from "./quotaWays.js";

/** Requests of all customers per second and instance. Some customers send many times as many as others. */
const RequestsPerInstance = 5.5;
/** A customer's limit, relative to its usual rate. */
const LimitFactor = 1.6;
/** Traffic alternates between a low and a high step: their factors on the mean rate, and their lengths. */
const LowFactor = 0.38;
const HighFactor = 1.84;
const LowMilliseconds = 3_800;
const HighMilliseconds = 2_800;
/** Callers per customer. A hash assigns each to one instance, so instances get different shares of its requests. */
const CallersPerCustomer = 24;

export interface QuotasOptions {
    readonly way: quotasFleet.QuotaWay;
    readonly instances: number;
    readonly customers: number;
    readonly seconds: number;
    readonly seed: number;
    readonly scene: quotaScenes.QuotaScene;
    /** In a hot scene: the largest customer's request rate from the fifth second on, relative to its usual one. */
    readonly hotFactor?: number;
}

export interface QuotasResult {
    readonly way: quotasFleet.QuotaWay;
    readonly scene: quotaScenes.QuotaScene;
    readonly instances: number;
    readonly customers: number;
    readonly requests: number;
    /**
     * Share of the requests of customers other than a hot one that were refused although the window before was below
     * the customer's limit.
     */
    readonly refusedBelow: number;
    /** Granted requests of a hot customer, as a share of what its limit allows in that time. */
    readonly hotShare: number;
    /** Refused requests of a hot customer, counted from the change of its limit if there was one. */
    readonly hotRefused: number;
    /** Highest excess of any customer's window over what the terms allow; negative if all are within them. */
    readonly worstOver: number;
    /** The same, without the tolerance of the terms. */
    readonly worstOverLimit: number;
    /** Duration of a decision, in milliseconds. */
    readonly p50: number;
    readonly p99: number;
    /** Control messages and bytes per second, sent and received: of the mean and of the busiest instance. */
    readonly messages: number;
    readonly mostMessages: number;
    readonly bytes: number;
}

interface Load {
    customer: customers.Customer;
    readonly perSecond: number;
    /** The instance of each of its callers, as a position between 0 and 1 in the list of members. */
    readonly callers: readonly number[];
    readonly granted: number[];
    requests: number;
    refused: number;
    refusedBelow: number;
}

/** Simulates requests of many customers with one way of enforcing limits. */
export async function runQuotas(options: QuotasOptions): Promise<QuotasResult> {
    const time = new simulation.Simulation();
    const fleet = quotasFleet.createFleet(time, options.way, options.instances, options.seed);
    const source = new random.Random(options.seed);
    const loads = createLoads(options, source);
    fleet.setCustomers(loads.map(load => load.customer));
    quotaScenes.prepareScene(options.scene, fleet, time);
    const change = quotaScenes.tryGetLimitChange(options.scene);
    if (change !== undefined) {
        time.schedule(change.at, () => {
            changeLimit(loads, change.factor);
            fleet.setCustomers(loads.map(load => load.customer));
        });
    }
    const waits: number[] = [];
    const hotFactor = quotaScenes.isHot(options.scene) ? (options.hotFactor ?? quotaScenes.HotFactor) : 1;
    const others = loads.filter(load => hotFactor === 1 || load !== loads[0]);
    loads.forEach((load, index) =>
        startLoad({ time, fleet, load, source, waits, hotFactor: index === 0 ? hotFactor : 1 }),
    );
    await settledPlay.runSettlingPromises(time, options.seconds * 1_000);
    waits.sort((left, right) => left - right);
    const traffic = fleet.members.map(member => member.network.traffic);
    const messages = traffic.map(one => one.messages / options.seconds);
    return {
        way: options.way,
        scene: options.scene,
        instances: options.instances,
        customers: options.customers,
        requests: waits.length,
        refusedBelow: sum(others.map(load => load.refusedBelow)) / Math.max(1, sum(others.map(load => load.requests))),
        hotShare: getHotShare(loads[0], options.seconds),
        hotRefused: loads[0]?.refused ?? 0,
        worstOver: Math.max(...loads.map(load => getMaximumInWindow(load.granted) - getBound(load))),
        worstOverLimit: Math.max(...loads.map(load => getMaximumInWindow(load.granted) - getLimit(load))),
        p50: waits[Math.floor(waits.length * 0.5)] ?? 0,
        p99: waits[Math.floor(waits.length * 0.99)] ?? 0,
        messages: sum(messages) / Math.max(1, messages.length),
        mostMessages: Math.max(...messages),
        bytes: sum(traffic.map(one => one.bytes)) / options.seconds / Math.max(1, traffic.length),
    };
}

/**
 * Changes the limit of the largest customer and resets its counts, since earlier requests ran under the previous
 * limit.
 */
function changeLimit(loads: readonly Load[], factor: number | undefined): void {
    const [load] = loads;
    if (load?.customer.limit === undefined) {
        return;
    }
    const { requestsPerSecond, burst } = load.customer.limit;
    const limit =
        factor === undefined ? undefined : { requestsPerSecond: requestsPerSecond * factor, burst: burst * factor };
    load.customer = { ...load.customer, limit };
    load.granted.length = 0;
    load.refused = 0;
}

/** The customers' rates follow a Zipf distribution. */
function createLoads(options: QuotasOptions, source: random.Random): readonly Load[] {
    const weights = [...new Array(options.customers).keys()].map(index => 1 / (index + 1));
    const totalWeight = sum(weights);
    return weights.map((weight, index) => {
        const perSecond = (options.instances * RequestsPerInstance * weight) / totalWeight;
        const rate = perSecond * LimitFactor;
        const customer: customers.Customer = {
            name: quotaScenes.getCustomerName(index),
            keyDigests: [],
            priority: undefined,
            limit: { requestsPerSecond: rate, burst: Math.max(1, rate) },
        };
        const callers = [...new Array(CallersPerCustomer).keys()].map(() => source.next());
        return { customer, perSecond, callers, granted: [], requests: 0, refused: 0, refusedBelow: 0 };
    });
}

interface LoadOptions {
    readonly time: simulation.Simulation;
    readonly fleet: quotasFleet.QuotaFleet;
    readonly load: Load;
    readonly source: random.Random;
    readonly waits: number[];
    readonly hotFactor: number;
}

const HotStartMilliseconds = 5_000;

function startLoad(options: LoadOptions): void {
    const { time, load, source, hotFactor } = options;
    const arrive = (): void => {
        void claim(options);
        const factor = time.now() >= HotStartMilliseconds ? hotFactor : 1;
        time.schedule(source.nextExponential(1_000 / (load.perSecond * getLoadFactor(time.now()) * factor)), arrive);
    };
    time.schedule(source.nextExponential(1_000 / load.perSecond), arrive);
}

async function claim({ time, fleet, load, source, waits }: LoadOptions): Promise<void> {
    const caller = load.callers[source.nextInteger(load.callers.length)] ?? 0;
    const member = fleet.members[Math.floor(caller * fleet.members.length)];
    if (member === undefined || fleet.hub.isPaused(member.id)) {
        return;
    }
    load.requests++;
    const startedAt = time.now();
    const isGranted = await member.claim(load.customer);
    const now = time.now();
    waits.push(now - startedAt);
    const isBelow =
        load.granted.filter(at => at > now - quotaWays.QuotaTerms.windowMilliseconds).length + 1 <= getLimit(load);
    if (isGranted) {
        load.granted.push(now);
    }
    else {
        load.refused++;
        load.refusedBelow += isBelow ? 1 : 0;
    }
}

/** Counts from two windows after the customer became hot, when its accumulated burst is used up. */
function getHotShare(load: Load | undefined, seconds: number): number {
    const from = HotStartMilliseconds + 2 * quotaWays.QuotaTerms.windowMilliseconds;
    const until = seconds * 1_000;
    if (load === undefined || until <= from) {
        return 0;
    }
    const windows = (until - from) / quotaWays.QuotaTerms.windowMilliseconds;
    return load.granted.filter(at => at >= from).length / (getLimit(load) * windows);
}

function getLoadFactor(now: number): number {
    return now % (LowMilliseconds + HighMilliseconds) < LowMilliseconds ? LowFactor : HighFactor;
}

function getLimit({ customer }: Load): number {
    return customer.limit === undefined ? Infinity : customers.getWindowLimit(customer.limit, quotaWays.QuotaTerms);
}

function getBound(load: Load): number {
    return getLimit(load) * (1 + quotaWays.QuotaTerms.overShare) + quotaWays.QuotaTerms.slack;
}

function getMaximumInWindow(times: readonly number[]): number {
    let first = 0;
    let maximum = 0;
    times.forEach((at, index) => {
        while ((times[first] ?? at) <= at - quotaWays.QuotaTerms.windowMilliseconds) {
            first++;
        }
        maximum = Math.max(maximum, index - first + 1);
    });
    return maximum;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
