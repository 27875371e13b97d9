import * as fileSystem from "node:fs";
import type * as core from "@boragedale/core";
import * as settingsReader from "./settings.js";

/** Interval at which the file is checked, since the platform may change it without a signal. A check costs one system call. */
const FileCheckIntervalMilliseconds = 2_000;

export interface SettingsWatcherOptions {
    readonly file: string;
    readonly initial: settingsReader.Settings;
    /** Called after each read with the names of the changed settings, or the findings because of which the previous ones are kept. */
    readonly onRead: (changed: readonly string[], findings: readonly core.Finding[]) => void;
}

/**
 * Holds the current settings and reloads them when the file changes. Peer seeds and shutdown times are read from here each time
 * they are used. The other settings take effect at the next start; addresses and names can't change under open connections.
 */
export class SettingsWatcher implements AsyncDisposable {
    private current: settingsReader.Settings;

    constructor(private readonly options: SettingsWatcherOptions) {
        this.current = options.initial;
        fileSystem.watchFile(
            options.file,
            { interval: FileCheckIntervalMilliseconds, persistent: false },
            (now, before) => {
                if (now.mtimeMs !== before.mtimeMs) {
                    this.reload();
                }
            },
        );
    }

    get(): settingsReader.Settings {
        return this.current;
    }

    /** Reads the file again. Keeps the current settings if the file has findings. */
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
