/** Exit codes of every command; README.md lists them for operators. */
export enum ExitCode {
    Success = 0,
    /** Findings in the input, or the instance refused. */
    Failure = 1,
    /** The command line itself is wrong. */
    Usage = 2,
    /** Another operator published first. */
    Conflict = 3,
    /** No instance answered. */
    Unreachable = 4,
    /** `status`: the note is not in force on every live instance, or an upstream has not reached its state. */
    NotReached = 5,
}
