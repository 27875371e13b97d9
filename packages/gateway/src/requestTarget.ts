import type * as http from "node:http";
import type * as types from "./types.js";

const HostHeader = "host";
const AbsoluteTarget = /^https?:\/\/([^/?#]+)(.*)$/i;

/**
 * Reads the head of a request. A target that names the host, as callers send it to a proxy, counts before the header, and only its path
 * is kept (RFC 9112, 3.2.2).
 */
export function readRawRequest(request: http.IncomingMessage): types.RawRequest {
    const { method = "GET", url = "/", rawHeaders } = request;
    const [, host, rest = ""] = url.startsWith("/") ? [] : (AbsoluteTarget.exec(url) ?? []);
    if (host === undefined) {
        return { method, target: url, host: request.headers.host ?? "", rawHeaders };
    }
    const target = rest.startsWith("/") ? rest : `/${rest}`;
    return { method, target, host, rawHeaders: replaceHost(rawHeaders, host) };
}

/** Whether it is unclear for which host the request is (RFC 9112, 3.2). */
export function hasSeveralHosts(rawHeaders: readonly string[]): boolean {
    let hosts = 0;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        hosts += isHostHeader(rawHeaders[index] ?? "") ? 1 : 0;
    }
    return hosts > 1;
}

function replaceHost(rawHeaders: readonly string[], host: string): string[] {
    return rawHeaders.map((part, index) =>
        index % 2 === 1 && isHostHeader(rawHeaders[index - 1] ?? "") ? host : part,
    );
}

function isHostHeader(name: string): boolean {
    return name.length === HostHeader.length && name.toLowerCase() === HostHeader;
}
