import * as core from "@boragedale/core";
import type * as release from "@boragedale/release";
import type * as upstreams from "@boragedale/upstreams";

export interface UpstreamDirectoryOptions {
    readonly notes: release.NoteCache;
    readonly createEngineClient: (
        upstream: core.UpstreamDescription,
        requestClass: core.RequestClass,
    ) => upstreams.EngineClient;
    readonly createServiceClient: (
        upstream: core.UpstreamDescription,
        requestClass: core.RequestClass,
    ) => upstreams.ServiceClient;
}

/** A client in use. Disposing ends the use. */
export interface ClientUse<T> extends Disposable {
    readonly client: T;
}

interface ClientEntry<T extends AsyncDisposable> {
    readonly client: T;
    readonly url: string;
    users: number;
    isRetired: boolean;
}

/**
 * Provides a client for each upstream and request class. When the release note removes an upstream or changes its URL,
 * its client is closed after the last request has ended, since closing it at once would cut off answers in progress.
 */
export class UpstreamDirectory implements AsyncDisposable {
    private readonly engines = new Map<string, ClientEntry<upstreams.EngineClient>>();
    private readonly services = new Map<string, ClientEntry<upstreams.ServiceClient>>();
    private readonly stopListening: () => void;

    constructor(private readonly options: UpstreamDirectoryOptions) {
        this.stopListening = options.notes.onNote(note => this.retireAbsent(note.fleet));
    }

    /** The fleet to route by. An upstream that a rollout is changing counts as leaving. */
    tryGetFleet(): core.FleetDescription | undefined {
        return this.options.notes.tryGetUsableFleet();
    }

    useEngine(upstream: core.UpstreamDescription, requestClass: core.RequestClass): ClientUse<upstreams.EngineClient> {
        return useClient(this.engines, upstream, requestClass, this.options.createEngineClient);
    }

    useService(
        upstream: core.UpstreamDescription,
        requestClass: core.RequestClass,
    ): ClientUse<upstreams.ServiceClient> {
        return useClient(this.services, upstream, requestClass, this.options.createServiceClient);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopListening();
        const clients = [...this.engines.values(), ...this.services.values()].map(entry => entry.client);
        this.engines.clear();
        this.services.clear();
        await Promise.all(clients.map(client => client[Symbol.asyncDispose]()));
    }

    private retireAbsent(fleet: core.FleetDescription): void {
        const urls = new Map(fleet.upstreams.map(upstream => [upstream.id, upstream.url]));
        retireWhere(this.engines, (id, url) => urls.get(id) !== url);
        retireWhere(this.services, (id, url) => urls.get(id) !== url);
    }
}

function useClient<T extends AsyncDisposable>(
    entries: Map<string, ClientEntry<T>>,
    upstream: core.UpstreamDescription,
    requestClass: core.RequestClass,
    create: (upstream: core.UpstreamDescription, requestClass: core.RequestClass) => T,
): ClientUse<T> {
    const key = `${requestClass}/${upstream.id}`;
    let entry = entries.get(key);
    if (entry === undefined || entry.url !== upstream.url) {
        if (entry !== undefined) {
            retire(entry);
        }
        entry = { client: create(upstream, requestClass), url: upstream.url, users: 0, isRetired: false };
        entries.set(key, entry);
    }
    return createUse(entry);
}

function createUse<T extends AsyncDisposable>(entry: ClientEntry<T>): ClientUse<T> {
    entry.users++;
    return {
        client: entry.client,
        [Symbol.dispose]: () => {
            entry.users--;
            closeIfUnused(entry);
        },
    };
}

function retireWhere<T extends AsyncDisposable>(
    entries: Map<string, ClientEntry<T>>,
    isObsolete: (id: core.UpstreamId, url: string) => boolean,
): void {
    for (const [key, entry] of entries) {
        if (isObsolete(key.slice(key.indexOf("/") + 1), entry.url)) {
            entries.delete(key);
            retire(entry);
        }
    }
}

function retire<T extends AsyncDisposable>(entry: ClientEntry<T>): void {
    entry.isRetired = true;
    closeIfUnused(entry);
}

function closeIfUnused<T extends AsyncDisposable>(entry: ClientEntry<T>): void {
    if (entry.isRetired && entry.users === 0) {
        void entry.client[Symbol.asyncDispose]();
    }
}

/** Engines that may serve a model or adapter to a class by the release note, except those that are leaving. */
export function listEngines(
    fleet: core.FleetDescription,
    model: core.ModelId,
    requestClass: core.RequestClass,
): readonly core.UpstreamDescription[] {
    const base = tryGetBaseModel(fleet, model);
    return fleet.upstreams.filter(
        upstream =>
            upstream.kind === core.UpstreamKind.Engine &&
            !upstream.isLeaving &&
            base !== undefined &&
            upstream.models.includes(base) &&
            servesClass(upstream.role, requestClass),
    );
}

/** Servers of a plain service that accept new work. */
export function listServers(
    fleet: core.FleetDescription,
    service: core.ServiceDescription,
): readonly core.UpstreamDescription[] {
    return fleet.upstreams.filter(upstream => !upstream.isLeaving && service.upstreams.includes(upstream.id));
}

/** Returns the model itself, or the base model of the adapter with this name. */
export function tryGetBaseModel(fleet: core.FleetDescription, model: core.ModelId): core.ModelId | undefined {
    const found = fleet.models.find(
        candidate => candidate.id === model || candidate.adapters.some(adapter => adapter.id === model),
    );
    return found?.id;
}

function servesClass(role: core.UpstreamRole, requestClass: core.RequestClass): boolean {
    switch (role) {
        case core.UpstreamRole.Mixed:
            return true;
        case core.UpstreamRole.Online:
            return requestClass === core.RequestClass.Online;
        case core.UpstreamRole.Batch:
            return requestClass === core.RequestClass.Batch;
    }
}
