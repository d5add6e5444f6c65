/** Exit codes that a script can use. */

export const EXIT_OK = 0
export const EXIT_FAILED = 1
export const EXIT_USAGE = 2
/** Input breaks a rule; nothing was changed. */
export const EXIT_INVALID = 3
/** Another edit came first; nothing was changed. */
export const EXIT_CONFLICT = 4
/** The platform or a daemon cannot be reached; after an edit, whether it took effect is unknown. */
export const EXIT_UNAVAILABLE = 5
