/** How the end of an answer's body is recognised (RFC 9112, section 6.3). */
export enum BodyFraming {
    Length = "Length",
    Chunked = "Chunked",
    /** Neither length nor chunks: the body ends when the connection is closed. */
    Close = "Close",
}

export function getBodyFraming(status: number, rawHeaders: readonly string[]): BodyFraming {
    if (status === 204 || status === 304) {
        return BodyFraming.Length;
    }
    let hasLength = false;
    let transferEncoding: string | undefined;
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        switch ((rawHeaders[index] ?? "").toLowerCase()) {
            case "content-length":
                hasLength = true;
                break;
            case "transfer-encoding":
                transferEncoding = rawHeaders[index + 1] ?? "";
                break;
        }
    }
    if (transferEncoding !== undefined) {
        return /(^|[\s,])chunked\s*$/i.test(transferEncoding) ? BodyFraming.Chunked : BodyFraming.Close;
    }
    return hasLength ? BodyFraming.Length : BodyFraming.Close;
}
