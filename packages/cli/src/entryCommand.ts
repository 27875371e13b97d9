import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";
import * as exitCodes from "./exitCodes.js";
import * as output from "./output.js";

/** `entry`: the daemon. Returns when a stop signal came and the last request in progress has ended. */
export async function runEntry(flags: Readonly<Record<string, unknown>>): Promise<exitCodes.ExitCode> {
    const settings = entry.readEntrySettings(flags, process.env);
    if (!settings.ok) {
        settings.findings.forEach(finding => output.printError(core.formatFinding(finding)));
        return exitCodes.ExitCode.Usage;
    }
    await using instance = await entry.startInstance(settings.value);
    // One line of JSON tells whoever started the process which ports it has, also where 0 was asked for.
    process.stdout.write(JSON.stringify(instance.description) + "\n");
    const stop = (): void => instance.drain();
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await instance.waitUntilDrained();
    return exitCodes.ExitCode.Success;
}
