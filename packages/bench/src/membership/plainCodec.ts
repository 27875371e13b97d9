import * as gateway from "@boragedale/gateway";

export const UpstreamPrefix = "upstreams/";

/** Decodes keys only: the simulation measures when members learn of a change, and doesn't need its content. */
export class PlainCodec extends gateway.RegistryCodec {
    override readonly configurationKey = "configuration";
    override readonly upstreamPrefix = UpstreamPrefix;
    override readonly retirementPrefix = "retire/";

    override decodeConfiguration(): gateway.Decoded<gateway.Configuration> {
        return { ok: false, findings: [] };
    }

    override decodeUpstream(): gateway.Decoded<gateway.UpstreamEntry> {
        return { ok: false, findings: [] };
    }

    override createRetirementConfirmation(machine: string): { readonly key: string; readonly value: Uint8Array } {
        return { key: machine, value: new Uint8Array() };
    }
}
