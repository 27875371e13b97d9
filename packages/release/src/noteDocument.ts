import * as core from "@boragedale/core";
import * as yaml from "yaml";
import type * as zod from "zod";

export type Path = readonly PropertyKey[];

/** Largest accepted YAML source, in bytes. The note must fit one value of the key-value service. */
export const MaximumSourceBytes = 900_000;

/** A parsed YAML source that can locate each of its values by line and column. */
export class NoteDocument {
    private readonly lines = new yaml.LineCounter();
    private readonly document: yaml.Document.Parsed;

    constructor(
        source: string,
        private readonly file: string,
    ) {
        this.document = yaml.parseDocument(source, { lineCounter: this.lines, prettyErrors: false });
    }

    /** Returns a finding for each YAML syntax error. */
    getSyntaxFindings(): readonly core.Finding[] {
        return this.document.errors.map(error =>
            core.createFinding(core.messages.NoteNotYaml, this.createPlace(error.pos[0]), error.message),
        );
    }

    /** Converts the document to a plain value; returns a finding when expanding its aliases would exceed the limit. */
    read(): core.Checked<unknown> {
        try {
            const value: unknown = this.document.toJS({ maxAliasCount: 100 });
            return { ok: true, value: value ?? {}, findings: [] };
        }
        catch (error) {
            const text = error instanceof Error ? error.message : String(error);
            return { ok: false, findings: [core.createFinding(core.messages.NoteNotYaml, this.createPlace(0), text)] };
        }
    }

    /** Returns the place of the value at `path`, or of its nearest existing parent. */
    getPlace(path: Path): core.FindingPlace {
        for (let length = path.length; length > 0; length--) {
            const node: unknown = this.document.getIn(path.slice(0, length), true);
            if (yaml.isNode(node) && node.range) {
                return this.createPlace(node.range[0]);
            }
        }
        return this.createPlace(0);
    }

    /**
     * Converts schema issues to findings. An unknown key is reported at the key, not at the mapping that contains it.
     */
    createShapeFindings(issues: readonly zod.core.$ZodIssue[]): readonly core.Finding[] {
        return issues.flatMap(issue => {
            if (issue.code === "unrecognized_keys") {
                return issue.keys.map(key =>
                    core.createFinding(
                        core.messages.NoteShape,
                        this.getKeyPlace(issue.path, key),
                        formatPath([...issue.path, key]),
                        "there is no field of this name",
                    ),
                );
            }
            const place = this.getPlace(issue.path);
            return [core.createFinding(core.messages.NoteShape, place, formatPath(issue.path), issue.message)];
        });
    }

    private getKeyPlace(path: Path, key: string): core.FindingPlace {
        const node: unknown = path.length === 0 ? this.document.contents : this.document.getIn(path, true);
        if (yaml.isMap(node)) {
            const keyNode = node.items.map(item => item.key).find(item => yaml.isScalar(item) && item.value === key);
            if (yaml.isScalar(keyNode) && keyNode.range) {
                return this.createPlace(keyNode.range[0]);
            }
        }
        return this.getPlace(path);
    }

    private createPlace(offset: number): core.FindingPlace {
        const { line, col } = this.lines.linePos(offset);
        return { kind: core.FindingPlaceKind.File, file: this.file, line: Math.max(1, line), column: Math.max(1, col) };
    }
}

function formatPath(path: Path): string {
    return path.length === 0 ? "the note" : path.map(String).join(".");
}
