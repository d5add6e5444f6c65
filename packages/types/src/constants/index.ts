/** Constants shared by all packages. */

export const MILLISECONDS_IN_SECOND = 1000
export const BYTES_IN_KIBIBYTE = 1024
export const BYTES_IN_MEBIBYTE = 1024 * 1024
/** Largest value that the platform's object API stores, in bytes. */
export const MAXIMUM_OBJECT_BYTES = BYTES_IN_MEBIBYTE
/** Milliseconds between two heartbeats of a daemon. */
export const HEARTBEAT_INTERVAL_MS = 1000
/** Milliseconds without a heartbeat after which a member is not assigned new work. */
export const HEARTBEAT_TIMEOUT_MS = 3200
/** Milliseconds for which a member without heartbeats stays in the placement. */
export const PLACEMENT_HOLD_MS = 30_000
/** Version of the protocol between daemons; requests with another version are refused. */
export const PROTOCOL_VERSION = 1
/** Loopback address of this machine. */
export const LOOPBACK_HOST = '127.0.0.1'
/** Largest body that a caller may send, in bytes. */
export const MAXIMUM_CALL_BODY_BYTES = 4 * BYTES_IN_MEBIBYTE
