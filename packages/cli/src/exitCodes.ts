/** Exit codes of all commands; README.md documents them for operators. */
export enum ExitCode {
    Success = 0,
    /** The input has errors, the instance rejected the request, or `explain` found no log line. */
    Failure = 1,
    /** The command line or its settings are invalid, or a file named there can't be read. */
    Usage = 2,
    /** `publish`: the note in force isn't the one that the new note replaces. */
    Conflict = 3,
    /** No instance could be reached, or publishing is unavailable. */
    Unreachable = 4,
    /** `status`: the note is not in force on every live instance, or an upstream has not reached its desired state. */
    NotReached = 5,
}
