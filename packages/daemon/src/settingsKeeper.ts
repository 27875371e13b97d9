import * as fileSystem from "node:fs";
import type * as core from "@boragedale/core";
import * as settingsReader from "./settings.js";

/** The platform also changes the file without a signal; a look at its time costs one system call. */
const LookMilliseconds = 2_000;

export interface SettingsKeeperOptions {
    readonly file: string;
    readonly initial: settingsReader.Settings;
    /** Told of each reading: the names of what changed, or the findings that keep the former settings in force. */
    readonly onRead: (changed: readonly string[], findings: readonly core.Finding[]) => void;
}

/**
 * Keeps the settings as the file has them. What names a face or this machine stays as it was at the start, since it can't
 * change under open connections; seeds, retention and the times of a stop are read anew where they are used.
 */
export class SettingsKeeper implements AsyncDisposable {
    private current: settingsReader.Settings;

    constructor(private readonly options: SettingsKeeperOptions) {
        this.current = options.initial;
        fileSystem.watchFile(options.file, { interval: LookMilliseconds, persistent: false }, (now, before) => {
            if (now.mtimeMs !== before.mtimeMs) {
                this.reload();
            }
        });
    }

    get(): settingsReader.Settings {
        return this.current;
    }

    /** Reads the file again; a file with findings changes nothing. */
    reload(): void {
        const read = settingsReader.readSettingsFile(this.options.file);
        if (!read.ok) {
            this.options.onRead([], read.findings);
            return;
        }
        const former = this.current;
        this.current = read.value;
        this.options.onRead(listChanges(former, read.value), []);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        fileSystem.unwatchFile(this.options.file);
    }
}

function listChanges(former: settingsReader.Settings, current: settingsReader.Settings): string[] {
    const names = Object.keys(current) as (keyof settingsReader.Settings)[];
    return names.filter(name => JSON.stringify(former[name]) !== JSON.stringify(current[name]));
}
