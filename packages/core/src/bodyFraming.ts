/** How the end of an answer's body is recognised (RFC 9112, section 6.3). */
export enum BodyFraming {
    Length = "Length",
    Chunked = "Chunked",
    /** Neither length nor chunks: the body ends when the connection is closed. */
    Close = "Close",
}

/** `readHeader` returns the value of the header with the given lower-case name. */
export function getBodyFraming(status: number, readHeader: (name: string) => string | undefined): BodyFraming {
    if (status === 204 || status === 304) {
        return BodyFraming.Length;
    }
    const transferEncoding = readHeader("transfer-encoding");
    if (transferEncoding !== undefined) {
        return /(^|[\s,])chunked\s*$/i.test(transferEncoding) ? BodyFraming.Chunked : BodyFraming.Close;
    }
    return readHeader("content-length") === undefined ? BodyFraming.Close : BodyFraming.Length;
}
