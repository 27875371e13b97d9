import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as gateway from "@boragedale/gateway";
import * as random from "../random.js";
import type * as simulation from "../simulation.js";
import * as simulatedNetwork from "../slots/simulatedNetwork.js";
import * as simulationClock from "../slots/simulationClock.js";
import * as quotaWays from "./quotaWays.js";

/** How the instances enforce a customer's limit across the fleet. */
export enum QuotaWay {
    /** Each grants an even share of the limit. */
    Shares = "Shares",
    /** Each admits up to the whole limit and reports to the quota owner, which notifies all once it is reached. */
    Reports = "Reports",
    /** One instance owns a customer's quota and is asked before each request. This is what the gateway does. */
    Owner = "Keeper",
}

export interface QuotaMember {
    readonly id: core.InstanceId;
    readonly network: simulatedNetwork.SimulatedNetwork;
    readonly directory: gateway.MemberDirectory;
    readonly claim: (customer: customers.Customer) => Promise<boolean>;
}

export interface QuotaFleet {
    readonly hub: simulatedNetwork.SimulatedHub;
    readonly members: QuotaMember[];
    /** Replaces the customers and their limits; all members see the change at once. */
    readonly setCustomers: (all: readonly customers.Customer[]) => void;
    /** The member that owns a customer's quota, followed by its successors in order. */
    readonly rankOwners: (customer: string) => readonly core.InstanceId[];
    /** Kills a member; the others list it until its lease ends. */
    readonly kill: (member: QuotaMember) => void;
    /** Starts a member on another machine and lists it. */
    readonly add: () => QuotaMember;
    /** Restarts the killed members as new incarnations of the same instances. */
    readonly restartKilled: () => void;
    /** Ends the leases of the killed members. */
    readonly delistKilled: () => void;
}

export function createFleet(
    time: simulation.Simulation,
    way: QuotaWay,
    instanceCount: number,
    seed: number,
): QuotaFleet {
    const hub = new simulatedNetwork.SimulatedHub(new simulationClock.SimulationClock(time));
    let currentCustomers = new customers.CustomerDirectory([]);
    const getCustomers = (): customers.CustomerDirectory => currentCustomers;
    const members: QuotaMember[] = [];
    const listed = new Map<core.InstanceId, gateway.StoreEntry>();
    const killed: core.InstanceId[] = [];
    let revision = 0;
    let started = 0;
    const list = (entry: gateway.StoreEntry): void => {
        listed.set(entry.key, entry);
        members.forEach(member => member.directory.apply([entry]));
    };
    const start = (index: number, incarnation: string): QuotaMember => {
        const id = gateway.createMemberId(`front-${index}`, incarnation);
        const dataCentre = `centre-${index % 3}`;
        const self = { id, dataCentre, peerAddress: "127.0.0.1:1" };
        const member = createMember({ hub, way, getCustomers, self, seed: seed * 1_000 + index });
        member.directory.apply([...listed.values()]);
        members.push(member);
        // Each member is linked to all others, since quota owners are; the choice of links isn't modelled.
        hub.networks.forEach((network, peer) => (peer === id ? undefined : hub.link(id, peer)));
        const value = gateway.encodeMember(self);
        list({ key: gateway.MemberPrefix + id, revision: ++revision, value });
        return member;
    };
    const add = (): QuotaMember => start(started++, "0123abcd");
    for (let index = 0; index < instanceCount; index++) {
        add();
    }
    const kill = (member: QuotaMember): void => {
        hub.remove(member.id);
        members.splice(members.indexOf(member), 1);
        killed.push(member.id);
    };
    const delistKilled = (): void =>
        killed.splice(0).forEach(id => {
            list({ key: gateway.MemberPrefix + id, revision: ++revision, value: undefined });
        });
    const setCustomers = (all: readonly customers.Customer[]): void => {
        currentCustomers = new customers.CustomerDirectory(all);
    };
    const restartKilled = (): void => killed.forEach(id => start(Number(/\d+/.exec(id)?.[0]), "4567cdef"));
    const rankOwners = (customer: string): readonly core.InstanceId[] => {
        const [member] = members;
        return member === undefined ? [] : new gateway.StateOwners(member.directory).rank(customer);
    };
    return { hub, members, setCustomers, rankOwners, kill, add, restartKilled, delistKilled };
}

interface MemberOptions {
    readonly hub: simulatedNetwork.SimulatedHub;
    readonly way: QuotaWay;
    readonly getCustomers: () => customers.CustomerDirectory;
    readonly self: gateway.Member;
    readonly seed: number;
}

function createMember({ hub, way, getCustomers, self, seed }: MemberOptions): QuotaMember {
    const network = hub.createNetwork(self.id);
    const directory = new gateway.MemberDirectory(self);
    const owners = new gateway.StateOwners(directory);
    const { clock } = hub;
    const common = { id: self.id, network, directory };
    switch (way) {
        case QuotaWay.Shares: {
            const shares = new quotaWays.EvenShares(owners, clock);
            return { ...common, claim: async customer => shares.claim(customer) };
        }
        case QuotaWay.Reports: {
            const reports = new quotaWays.Reports(self.id, owners, network, clock);
            return { ...common, claim: async customer => reports.claim(customer) };
        }
        case QuotaWay.Owner: {
            const source = new random.Random(seed);
            const quotas = new gateway.CustomerQuotas({
                self: self.id,
                owners: owners,
                network,
                getCustomers,
                clock,
                terms: quotaWays.QuotaTerms,
                random: () => source.next(),
            });
            return { ...common, claim: async customer => (await quotas.claim(customer)).isGranted };
        }
    }
}
