/** Inserts measured tables into a page between `<!-- slopes:begin NAME -->` and `<!-- slopes:end NAME -->`. */

/** Returns the page with the table between its markers. Throws if the page doesn't have these markers exactly once. */
export function replaceTable(page: string, name: string, table: string): string {
    const begin = `<!-- slopes:begin ${name} -->`;
    const end = `<!-- slopes:end ${name} -->`;
    const [before, rest, ...others] = page.split(begin);
    const [, after, ...moreEnds] = rest?.split(end) ?? [];
    if (before === undefined || after === undefined || others.length + moreEnds.length > 0) {
        throw new Error(`The page needs the markers of ${name} once, in order.`);
    }
    return `${before}${begin}\n\n${table}\n\n${end}${after}`;
}
