/**
 * The catalogue of all messages to callers and operators. The code of a message never changes. Placeholders are `{0}`, `{1}`, …
 * Code ranges: 1000 settings, 2000 release notes, 3000 requests, 4000 jobs, 5000 commands, 6000 registries.
 */

export type Value = string | number | boolean;

export interface Message {
    readonly code: number;
    readonly template: string;
}

function createMessage(code: number, template: string): Message {
    return { code, template };
}

export const SettingMissing = createMessage(1001, "a value is required: {0}");
export const SettingInvalid = createMessage(1002, "'{0}' is not usable: {1}");
export const SettingUnknown = createMessage(1003, "there is no setting of this name");

export const NoteNotYaml = createMessage(2001, "the release note is not valid YAML: {0}");
export const NoteShape = createMessage(2002, "'{0}': {1}");
export const NoteDuplicate = createMessage(2003, "{0} '{1}' is listed twice");
export const NoteUnknownReference = createMessage(2004, "{0} '{1}' is not defined in this note");
export const NoteFloorUnreachable = createMessage(
    2005,
    "model '{0}' keeps a floor of {1} upstreams for {2}, but only {3} are assigned",
);

export const NoteExists = createMessage(2006, "{0} '{1}' exists already; list it under 'changed'");
export const NoteMissing = createMessage(2007, "{0} '{1}' does not exist, so it can't be {2}");
export const NoteFloorBlocks = createMessage(
    2008,
    "model '{0}' keeps a floor of {1} upstreams for {2} and has no more, so it could never change; lower the floor",
);
export const NoteEmpty = createMessage(2009, "the release note changes nothing");
export const NoteTooLarge = createMessage(2010, "the release note is over the limit of {0} bytes");

export const NotAuthorized = createMessage(3001, "the bearer token is missing or belongs to no caller");
export const BodyInvalid = createMessage(3002, "the request body is not usable: {0}");
export const BodyTooLarge = createMessage(3003, "the request body is over the limit of {0} bytes");
export const NotFound = createMessage(3004, "{0} '{1}' does not exist");
export const ModelUnknown = createMessage(3005, "the model '{0}' is not served");
export const Overloaded = createMessage(3006, "not run: the fleet is at capacity; come back in {0} ms");
export const DeadlineUnreachable = createMessage(
    3007,
    "not run: the deadline can't be met (the wait would be {0} ms); come back in {1} ms",
);
export const UpstreamFailed = createMessage(3008, "the upstream failed while the request ran: {0}");
export const KeyValueDown = createMessage(3009, "not run: the platform's key-value service does not answer");
export const KeyReused = createMessage(3010, "the idempotency key was used before with another body");
export const OutcomeUnknown = createMessage(
    3011,
    "the call was sent but its outcome is not known; it will not be run again",
);
export const Quarantined = createMessage(3012, "not run: this request ended {0} upstreams and is quarantined");
export const InstanceLeaving = createMessage(3013, "not run: this instance is leaving; send the request again");
export const NoNoteInForce = createMessage(3014, "not run: no release note is in force on this instance");
export const ServiceUnknown = createMessage(3015, "the service '{0}' is not in the release note");
export const CallInFlight = createMessage(3016, "the call with this key is still running");
export const DeadlinePassed = createMessage(3017, "the deadline passed while the request ran");
export const InternalDefect = createMessage(3018, "a defect in boragedale ended this request");

export const JobInputInvalid = createMessage(4001, "line {0} of the input: {1}");
export const JobStateConflict = createMessage(4002, "the job is {0} and can't be {1}");

export const PublishConflict = createMessage(5001, "generation {0} is in force, not {1}; nothing was published");
export const CommandUnreachable = createMessage(5002, "no instance answered at {0}: {1}");
export const CommandRefused = createMessage(5003, "the instance refused: {0}");
export const FileUnreadable = createMessage(5004, "the file '{0}' can't be read: {1}");
export const CommandUnknown = createMessage(5005, "there is no command '{0}'");

/** Replaces the placeholders of a message with values. */
export function formatMessage(message: Message, ...values: readonly Value[]): string {
    return message.template.replace(/\{(\d+)\}/g, (placeholder, index: string) => {
        const value = values[Number(index)];
        return value === undefined ? placeholder : String(value);
    });
}

export const RegistryEntryUnusable = createMessage(6001, "the entry is not usable: {0}");
export const CustomerDuplicate = createMessage(6002, "the customer '{0}' is listed twice");
export const CustomerKeyShared = createMessage(6003, "a key of the customer '{0}' belongs to another customer too");
