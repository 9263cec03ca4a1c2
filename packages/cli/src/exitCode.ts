/** Exit codes of the command line. */
export const ExitCode = {
    success: 0,
    /** The command failed for a reason outside the command line and its files, such as an unreachable service. */
    failure: 1,
    /** The command line or a file is invalid. */
    usage: 2,
    /** The change was refused, for example because another change was accepted first. */
    conflict: 3,
    /** Whether the change was accepted is unknown. */
    unknown: 4,
} as const;

/** A value of {@link ExitCode}. */
export type ExitCodeValue = typeof ExitCode[keyof typeof ExitCode];
