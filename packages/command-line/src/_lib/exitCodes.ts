/** Exit codes of the command, for scripts. */

export const EXIT_OK = 0
export const EXIT_FAILED = 1
export const EXIT_USAGE = 2
/** The input is invalid; nothing was changed. */
export const EXIT_INVALID = 3
/** The edit conflicts with an earlier one; nothing was changed. */
export const EXIT_CONFLICT = 4
/** The platform or a daemon is unreachable; after an edit it is unknown whether the edit took effect. */
export const EXIT_UNAVAILABLE = 5
