/** Exit codes, documented in docs/operators/command-line.md. */
export const exitCodes = {
  success: 0,
  /** The input is invalid; nothing was applied. */
  invalid: 2,
  /** A resource was changed concurrently; nothing was applied. */
  conflict: 3,
  /** The box is unreachable or rejected the request. */
  unreachable: 4,
  /** The log did not respond in time; the change may have been accepted. */
  outcomeUnknown: 5,
  /** The file and the desired state differ. */
  differs: 6,
  /** The resource does not exist. */
  notFound: 7,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
